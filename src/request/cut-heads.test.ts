import type {Socket} from 'node:net';
import test from 'ava';
import {request} from 'undici';
import {nextTurn} from '../time/turn.js';
import {createMesh} from './fakes/mesh.js';
import {sendRaw} from './fakes/raw-client.js';
import {createRawServer} from './fakes/raw-server.js';

const body = 'x'.repeat(40);

/** Heads of complete answers, by their framing. */
const heads: Readonly<Record<string, string>> = {
  'a length first': `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\netag: "7"\r\n\r\n`,
  'a length last': `HTTP/1.1 200 OK\r\netag: "7"\r\ncontent-length: ${body.length}\r\n\r\n`,
  chunks: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\netag: "7"\r\n\r\n',
  'no framing': 'HTTP/1.1 200 OK\r\netag: "7"\r\nconnection: close\r\n\r\n',
  'bare line feeds': `HTTP/1.1 200 OK\ncontent-length: ${body.length}\n\n`,
  'an interim answer': `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`,
};

/** How a connection ends after the cut. */
const endings: Readonly<Record<string, (socket: Socket) => void>> = {
  close: socket => void socket.end(),
  reset: socket => void socket.resetAndDestroy(),
};

/** Writes the first `size` bytes of a head in two packets, then ends. */
async function writeCut(
  socket: Socket,
  head: string,
  size: number,
  end: (socket: Socket) => void,
): Promise<void> {
  socket.on('error', () => {});
  socket.setNoDelay(true);
  socket.write(head.slice(0, size >> 1));
  await nextTurn();
  socket.write(head.slice(size >> 1, size));
  await nextTurn();
  end(socket);
}

/** Number of answers by status. */
type Statuses = Record<number, number>;

function count(statuses: Statuses, status: number): void {
  statuses[status] = (statuses[status] ?? 0) + 1;
}

const uploadBody = Buffer.alloc(200_000);

for (const [framing, head] of Object.entries(heads)) {
  for (const [ending, end] of Object.entries(endings)) {
    // The cut head must not become a success with an empty or short body.
    test(`an upstream's head with ${framing}, cut at any byte by a ${ending}, is a failure`, async t => {
      let cut = 0;
      let isCutting = false;
      const mesh = await createMesh({
        upstreams: [
          (_req, res) => {
            if (isCutting) void writeCut(res.socket!, head, cut, end);
            else res.end(body);
          },
        ],
      });
      t.teardown(mesh.close);
      const statuses: Statuses = {};
      for (cut = 0; cut < head.length; cut++) {
        isCutting = false;
        const before = await request(`${mesh.url}/bookings`);
        t.is(await before.body.text(), body);
        isCutting = true;
        // The second answer on the connection is cut.
        const answer = await request(`${mesh.url}/bookings`);
        await answer.body.dump();
        count(statuses, answer.statusCode);
      }
      t.deepEqual(statuses, {502: head.length});
    });

    test(`an upload's answer with ${framing}, cut by a ${ending} at the gate or the upstream, is a failure`, async t => {
      let cut = 0;
      const mesh = await createMesh({
        upstreams: [(_req, res) => void writeCut(res.socket!, head, cut, end)],
      });
      t.teardown(mesh.close);
      const gate = await createRawServer(
        socket => void writeCut(socket, head, cut, end),
      );
      t.teardown(gate.close);
      const [announcement] = mesh.endpoints.instances('stock-desk');
      for (const address of [announcement!.gate, gate.address]) {
        mesh.endpoints.put({...announcement!, gate: address});
        for (cut = 0; cut < head.length; cut += 3) {
          const answer = await request(`${mesh.url}/bookings`, {
            method: 'PUT',
            body: uploadBody,
          });
          await answer.body.dump();
          t.true(answer.statusCode >= 500, `${answer.statusCode} at ${cut}`);
        }
      }
    });
  }
}

test('a caller of HTTP/1.0 gets a failure for a head that was cut', async t => {
  const head = heads['no framing']!;
  let cut = 0;
  const mesh = await createMesh({
    upstreams: [
      (_req, res) => void writeCut(res.socket!, head, cut, endings['close']!),
    ],
  });
  t.teardown(mesh.close);
  for (cut = 0; cut < head.length; cut++) {
    const {text} = await sendRaw(
      mesh.entry.address,
      'GET /bookings HTTP/1.0\r\nhost: a\r\n\r\n',
    );
    t.regex(text, /^HTTP\/1\.1 502 /, `cut at ${cut}`);
  }
});

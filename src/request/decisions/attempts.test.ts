import {createServer} from 'node:http';
import type {RequestListener} from 'node:http';
import test from 'ava';
import {request} from 'undici';
import {hopCases} from '../fakes/hop-cases.js';
import {createMesh, listen} from '../fakes/mesh.js';
import type {Mesh} from '../fakes/mesh.js';

const depth = 11;

for (const {framedLinks, isGuarded: internalHeaders} of hopCases) {
  test(`a chain ${depth} deep whose bottom refuses, internal headers dropped: ${internalHeaders}, framed links: ${framedLinks}`, async t => {
    // Each upstream calls the next one through its entry and passes on the
    // answer with all headers. If an entry mistook a refusal from a lower level
    // for one by its own gate, every level would retry, and the lowest one
    // would receive 2^11 attempts. Three levels are enough to show this. On
    // framed links a refusal is not a header and can't be forged.
    const isSafe = internalHeaders || framedLinks;
    const levels = isSafe ? depth : 3;
    let attempts = 0;
    const meshes: Mesh[] = [];
    const bottom = createServer((_req, res) => {
      attempts++;
      res.statusCode = 503;
      res.setHeader('foxbarrow-code', '5004');
      res.setHeader('foxbarrow-effect', 'not-run');
      res.end('full');
    });
    let next = `http://${await listen(bottom)}`;
    for (let level = 0; level < levels; level++) {
      const below = next;
      const mesh = await createMesh({
        upstreams: [1, 2].map(() => async (req, res) => {
          const answer = await request(`${below}${req.url}`);
          const headers = {...answer.headers} as Record<string, string>;
          delete headers['transfer-encoding'];
          res.writeHead(answer.statusCode, headers);
          res.end(await answer.body.text());
        }),
        entry: {safeguards: {internalHeaders, framedLinks}},
        gate: {safeguards: {internalHeaders}},
      });
      meshes.push(mesh);
      next = mesh.url;
    }
    const answer = await request(`${next}/stock/7`);
    t.is(answer.statusCode, 503);
    await answer.body.dump();
    if (isSafe) t.is(attempts, 1);
    else t.true(attempts > 8, String(attempts));
    for (const mesh of meshes) await mesh.close();
    bottom.closeAllConnections();
    bottom.close();
  });
}

test('in a chain 11 deep, entries don’t retry a refusal by the lowest entry', async t => {
  // Only an entry that receives a refusal from its own gate retries. If each of
  // the ten levels above made three attempts, the lowest entry would receive
  // 3^10 calls.
  let lowestCalls = 0;
  const meshes: Mesh[] = [];
  const lowest = await createMesh({
    upstreams: [1, 2, 3, 4].map(() => () => {}),
    configuration: () => {
      return undefined;
    },
  });
  meshes.push(lowest);
  let next = lowest.url;
  for (let level = 1; level < depth; level++) {
    const below = next;
    const mesh = await createMesh({
      upstreams: [1, 2].map(() => async (_req, res) => {
        if (below === lowest.url) lowestCalls++;
        const answer = await request(`${below}/stock/7`);
        res.writeHead(answer.statusCode);
        res.end(await answer.body.text());
      }),
    });
    meshes.push(mesh);
    next = mesh.url;
  }
  const answer = await request(`${next}/stock/7`);
  t.is(answer.statusCode, 503);
  await answer.body.dump();
  t.is(lowestCalls, 1);
  for (const mesh of meshes) await mesh.close();
});

for (const once of [false, true]) {
  test(`a booking whose upstream closes the connection, retried only if idempotent: ${once}`, async t => {
    // The upstream books and closes its connection before the answer. A retry
    // at the next instance would book a second time.
    let booked = 0;
    const closeConnection = (_req: unknown, res: {destroy(): void}) => {
      booked++;
      res.destroy();
    };
    const mesh = await createMesh({
      upstreams: [closeConnection, closeConnection, closeConnection],
      entry: {safeguards: {once}},
    });
    const answer = await request(`${mesh.url}/bookings`, {
      method: 'POST',
      body: 'book',
    });
    t.is(answer.headers['foxbarrow-effect'], 'unknown');
    await answer.body.dump();
    t.is(booked, once ? 1 : 2);
    await mesh.close();
  });
}

test('a lookup whose upstream closes the connection is answered by another', async t => {
  const mesh = await createMesh({
    upstreams: [
      (_req, res) => void res.destroy(),
      (_req, res) => res.end('found'),
    ],
  });
  for (let count = 0; count < 6; count++) {
    const answer = await request(`${mesh.url}/stock/7`);
    t.is(await answer.body.text(), 'found');
  }
  await mesh.close();
});

for (const heldUploads of [false, true]) {
  test(`a large upload refused by one gate goes to the next, upload held: ${heldUploads}`, async t => {
    // The first gate drains, which the entry has not learned yet. Unless the
    // upload waits for its admission, its first bytes have been sent when the
    // refusal arrives, and the caller must resend it although another instance
    // was free.
    let stored = 0;
    const mesh = await createMesh({
      upstreams: [1, 2].map(() => async (req, res) => {
        for await (const chunk of req) stored += chunk.length;
        res.end();
      }),
      entry: {
        safeguards: {heldUploads},
        balancer: {choose: candidates => candidates[0]!},
      },
    });
    mesh.members[0]!.gate.drain();
    const body = Buffer.alloc(4 * 1024 * 1024);
    const answer = await request(`${mesh.url}/stock/7`, {method: 'PUT', body});
    await answer.body.dump();
    if (heldUploads) {
      t.is(answer.statusCode, 200);
      t.is(stored, body.length);
    } else {
      t.is(answer.headers['foxbarrow-code'], '5005');
      t.is(stored, 0);
    }
    await mesh.close();
  });
}

test('an entry sends no calls to an instance that announced a drain', async t => {
  const counts = [0, 0];
  const mesh = await createMesh({
    upstreams: [0, 1].map(index => (_req, res) => {
      counts[index]!++;
      res.end();
    }),
  });
  mesh.endpoints.put({
    ...mesh.endpoints.instances('stock-desk')[0]!,
    state: 'draining',
  });
  for (let count = 0; count < 10; count++) {
    const answer = await request(`${mesh.url}/stock/7`);
    await answer.body.dump();
  }
  t.deepEqual(counts, [0, 10]);
  await mesh.close();
});

test('a refusal is not final as not-run if an earlier attempt may have run', async t => {
  const closeConnection: RequestListener = (_req, res) => {
    for (const {gate} of mesh.members) gate.drain();
    res.destroy();
  };
  const mesh: Mesh = await createMesh({
    upstreams: [closeConnection, closeConnection],
  });
  const answer = await request(`${mesh.url}/stock/7`);
  await answer.body.dump();
  t.is(answer.headers['foxbarrow-effect'], 'unknown');
  t.is(answer.statusCode, 502);
  await mesh.close();
});

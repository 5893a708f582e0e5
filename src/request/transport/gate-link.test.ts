import {createHash, randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {createConnection} from 'node:net';
import test from 'ava';
import {request} from 'undici';
import {hopCases} from '../fakes/hop-cases.js';
import {createMesh} from '../fakes/mesh.js';
import type {Mesh} from '../fakes/mesh.js';
import {framedProtocol} from './frames.js';
import {announcementOf} from '../fakes/fake-endpoints.js';
import {createRawServer, unusedAddress} from '../fakes/raw-server.js';
import {settle} from '../../time/fakes/fake-timers.js';

const upgraded = [
  'HTTP/1.1 101 Switching Protocols',
  'connection: upgrade',
  `upgrade: ${framedProtocol}`,
  '\r\n',
].join('\r\n');

/** Puts a gate at `address` in place of the mesh's own instance. */
function replaceGate(mesh: Mesh, gate: string): void {
  mesh.endpoints.put(announcementOf({gate, incarnation: 2}));
}

/** A gate that dies when it has read a call, on a framed link or by HTTP. */
function createLostGate(read: () => void) {
  return createRawServer((socket, head) => {
    const die = () => {
      read();
      socket.destroy();
    };
    if (!head.includes(framedProtocol)) return die();
    socket.write(upgraded);
    socket.once('data', die);
  });
}

function book(mesh: Mesh) {
  return request(`${mesh.url}/bookings`, {method: 'POST', body: 'book'});
}

for (const {framedLinks, isGuarded: doubt} of hopCases) {
  test(`a gate lost after the head was sent, doubt kept: ${doubt}, framed links: ${framedLinks}`, async t => {
    // The gate's process dies with a booking in hand, which may have reached
    // the upstream. Called `not-run`, the entry sends it to the other gate and
    // it is booked twice.
    let booked = 0;
    const lost = await createLostGate(() => booked++);
    const mesh = await createMesh({
      upstreams: [() => {}, (_req, res) => (booked++, res.end('booked'))],
      entry: {
        safeguards: {unknownEffect: doubt, framedLinks},
        balancer: {choose: candidates => candidates[0]!},
      },
    });
    replaceGate(mesh, lost.address);
    const answer = await book(mesh);
    t.is(booked, doubt ? 1 : 2);
    t.is(answer.headers['foxbarrow-effect'], doubt ? 'unknown' : undefined);
    t.is(answer.headers['foxbarrow-code'], doubt ? '5011' : undefined);
    await answer.body.dump();
    await mesh.close();
    await lost.close();
  });
}

test('a gate that takes no connection leaves a booking not run and free to go elsewhere', async t => {
  const mesh = await createMesh({
    upstreams: [() => {}, (_req, res) => res.end('booked')],
    entry: {balancer: {choose: candidates => candidates[0]!}},
  });
  replaceGate(mesh, await unusedAddress());
  const answer = await book(mesh);
  t.is(await answer.body.text(), 'booked');
  await mesh.close();
});

test('the only gate unreachable: refused as not run, with a time to come back', async t => {
  const mesh = await createMesh({upstreams: [() => {}]});
  replaceGate(mesh, await unusedAddress());
  const answer = await book(mesh);
  t.is(answer.statusCode, 502);
  t.is(answer.headers['foxbarrow-effect'], 'not-run');
  t.is(answer.headers['retry-after'], '1');
  await answer.body.dump();
  await mesh.close();
});

for (const instanceCheck of [false, true]) {
  test(`an address that now belongs to another upstream, instance checked: ${instanceCheck}`, async t => {
    // The announcement names an instance that moved; its old address was given
    // to another upstream's gate, which would run the booking as its own.
    const mesh = await createMesh({
      upstreams: [(_req, res) => res.end('booked')],
      gate: {instance: 'parts-files-1', service: 'parts-files'},
      gateSafeguards: {instanceCheck},
    });
    const answer = await book(mesh);
    t.is(answer.headers['foxbarrow-code'], instanceCheck ? '5014' : undefined);
    await answer.body.dump();
    await mesh.close();
  });
}

test('answers of one gate that come late and crossed go to their own callers', async t => {
  // Twenty lookups share the gate's connections; the upstream answers them in
  // the opposite order. Each caller must read its own part.
  const waiting: Array<() => void> = [];
  const mesh = await createMesh({
    upstreams: [
      (req, res) => {
        waiting.push(() => res.end(`part ${req.url}`));
        if (waiting.length === 20) waiting.reverse().forEach(run => run());
      },
    ],
  });
  const answers = await Promise.all(
    Array.from({length: 20}, async (_none, part) => {
      const answer = await request(`${mesh.url}/stock/${part}`);
      return answer.body.text();
    }),
  );
  answers.forEach((text, part) => t.is(text, `part /stock/${part}`));
  await mesh.close();
});

test('a refused caller hears the gate’s own wait, not a whole second', async t => {
  // The gate has a free slot in 40 ms. Its word travels in a header of seconds;
  // rounded up to one, the caller comes back when its time is nearly over.
  const gate = await createRawServer(socket =>
    socket.write(
      [
        'HTTP/1.1 503 Refused',
        'foxbarrow-code: 5004',
        'retry-after: 1',
        'foxbarrow-wait: 40',
        'content-length: 0',
        '\r\n',
      ].join('\r\n'),
    ),
  );
  const mesh = await createMesh({upstreams: [() => {}]});
  replaceGate(mesh, gate.address);
  const answer = await book(mesh);
  t.is(answer.headers['foxbarrow-code'], '5004');
  t.is(answer.headers['foxbarrow-wait'], '40');
  await mesh.close();
  await gate.close();
});

test('an upload refused in the moment of its admission reaches the next gate whole', async t => {
  // The first gate admits an upload and refuses it in one breath: its upstream
  // answered before it read. Both words come at once, and the connection to the
  // next gate takes a moment to open. Meanwhile the first attempt, which was let
  // go on, takes the body's second part, and the next upstream gets the third in
  // its place.
  const refusing = await createRawServer(socket =>
    socket.write(
      [
        'HTTP/1.1 102 Processing',
        '',
        'HTTP/1.1 503 Refused',
        'foxbarrow-code: 5025',
        'content-length: 0',
        '\r\n',
      ].join('\r\n'),
    ),
  );
  const mesh = await createMesh({
    upstreams: [
      () => {},
      (req, res) => {
        const hash = createHash('sha256');
        req.on('data', part => hash.update(part));
        req.on('end', () => res.end(hash.digest('hex')));
      },
    ],
    entry: {balancer: {choose: candidates => candidates[0]!}},
  });
  replaceGate(mesh, refusing.address);
  const body = randomBytes(3 * 1024 * 1024);
  const answer = await request(`${mesh.url}/stock/7`, {method: 'PUT', body});
  const digest = createHash('sha256').update(body).digest('hex');
  t.is(await answer.body.text(), digest);
  await mesh.close();
  await refusing.close();
});

test('a gate whose link goes silent is left, and other callers go elsewhere', async t => {
  // The link takes bytes and nothing ever comes back, without a reset. A lookup
  // on it would be held until its caller gives up; the gate answers no ping, so
  // after a second the lookup goes to the other gate and is answered.
  const silent = await createRawServer(socket => socket.write(upgraded));
  const mesh = await createMesh({
    upstreams: [() => {}, (_req, res) => res.end('found')],
    entry: {balancer: {choose: candidates => candidates[0]!}},
  });
  replaceGate(mesh, silent.address);
  const asked = request(`${mesh.url}/stock/7`);
  let answer: Awaited<typeof asked> | undefined;
  void asked.then(value => (answer = value));
  for (let step = 0; step < 20 && answer === undefined; step++) {
    await settle();
    mesh.timers.advance(100);
  }
  t.is(await (await asked).body.text(), 'found');
  await mesh.close();
  await silent.close();
});

test('a caller that reads slowly holds up its own answer, not the next one', async t => {
  // Two lookups share the link to one gate. The first caller does not read its
  // megabytes; sent ahead without a bound, they would fill the entry's memory,
  // and held back on the connection they would hold up the second answer too.
  const large = Buffer.alloc(8 * 1024 * 1024, 'x');
  const mesh = await createMesh({
    upstreams: [(req, res) => res.end(req.url === '/stock/1' ? large : 'part')],
  });
  const slow = await request(`${mesh.url}/stock/1`);
  const quick = await request(`${mesh.url}/stock/2`);
  t.is(await quick.body.text(), 'part');
  const whole = await slow.body.arrayBuffer();
  t.is(whole.byteLength, large.length);
  await mesh.close();
});

test('a caller that leaves has its work ended at the gate', async t => {
  // The caller closes its connection while the upstream works. Without the word
  // of it, the upstream would work on for nobody and keep its slot.
  let asked = () => {};
  const begun = new Promise<void>(done => (asked = done));
  const mesh = await createMesh({upstreams: [() => asked()]});
  const leave = new AbortController();
  const lookup = request(`${mesh.url}/stock/7`, {signal: leave.signal});
  await begun;
  leave.abort();
  await t.throwsAsync(lookup, {any: true});
  const {gate} = mesh.members[0]!;
  for (let step = 0; step < 200 && gate.running > 0; step++) {
    mesh.timers.advance(10);
    await settle();
  }
  t.is(gate.running, 0);
  await mesh.close();
});

test('calls to one gate share one connection', async t => {
  const mesh = await createMesh({upstreams: [(_req, res) => res.end('part')]});
  const {server} = mesh.members[0]!;
  const ask = async () => (await request(`${mesh.url}/stock/7`)).body.text();
  await Promise.all(Array.from({length: 10}, ask));
  t.is(server.connections, 1);
  await mesh.close();
});

test('a gate that stops refuses what is on its way, and its entries leave the link', async t => {
  // The gate's process is asked to stop; a booking that crosses with that word
  // is refused as not run and goes to the other gate. Nothing is left in doubt.
  const mesh = await createMesh({
    upstreams: [1, 2].map(() => (_req, res) => res.end('booked')),
    entry: {balancer: {choose: candidates => candidates[0]!}},
  });
  await (await book(mesh)).body.dump();
  const {gate, server} = mesh.members[0]!;
  const stopped = gate.stop(1000).then(() => server.stop(1000));
  const answer = await book(mesh);
  t.is(await answer.body.text(), 'booked');
  for (let step = 0; step < 50 && server.connections > 0; step++) {
    mesh.timers.advance(20);
    await settle();
  }
  t.is(server.connections, 0);
  await stopped;
  await mesh.close();
});

test('an entry that has gone silent does not hold up the stop of a gate', async t => {
  // The entry's VM is cut off: its link stays open, carries nothing and is never
  // closed from there. Waited for, the gate's process is still there at the end
  // of its grace and is killed with the rest of its work.
  const mesh = await createMesh({upstreams: [() => {}]});
  const {server} = mesh.members[0]!;
  const [host, port] = server.address.split(':');
  const silent = createConnection({
    host,
    port: Number(port),
    allowHalfOpen: true,
  });
  silent.write(
    `GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: ${framedProtocol}\r\n\r\n`,
  );
  await once(silent, 'data');
  silent.pause();
  const stopped = server.stop(60_000);
  let isStopped = false;
  void stopped.then(() => (isStopped = true));
  for (let step = 0; step < 20 && !isStopped; step++) {
    mesh.timers.advance(50);
    await settle();
  }
  t.true(isStopped);
  silent.destroy();
  await mesh.close();
});

// Versions of a mesh run side by side while it is updated.
test('a gate that declines this version of the link is called by HTTP', async t => {
  const older = await createRawServer((socket, head) => {
    if (/^upgrade:/im.test(head)) {
      socket.end('HTTP/1.1 400 Refused\r\nconnection: close\r\n\r\n');
      return;
    }
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nbooked');
  });
  const mesh = await createMesh({upstreams: [() => {}]});
  replaceGate(mesh, older.address);
  for (let booking = 0; booking < 2; booking++) {
    const answer = await book(mesh);
    t.is(await answer.body.text(), 'booked');
  }
  const asked = older.heads.filter(head => head.includes(framedProtocol));
  t.is(asked.length, 1);
  await mesh.close();
  await older.close();
});

test('an entry of an older version is declined, and may call by HTTP', async t => {
  const mesh = await createMesh({upstreams: [() => {}]});
  const [host, port] = mesh.members[0]!.server.address.split(':');
  const older = createConnection({host, port: Number(port)});
  older.write(
    'GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: foxbarrow-link/0\r\n\r\n',
  );
  const [answer] = (await once(older, 'data')) as [Buffer];
  t.regex(answer.toString(), /^HTTP\/1\.1 400 /);
  older.destroy();
  await mesh.close();
});

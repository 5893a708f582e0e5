import type {RequestListener} from 'node:http';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {announcementOf} from './fakes/fake-endpoints.js';
import {createMesh} from './fakes/mesh.js';

/** A mesh whose upstreams report their shutdown if `isLeaving`. */
async function startMesh(t: ExecutionContext, isLeaving: boolean[]) {
  const arrivals = isLeaving.map(() => 0);
  const upstreams = isLeaving.map((_none, index): RequestListener => {
    return (incoming, response) => {
      incoming.resume();
      arrivals[index]!++;
      if (isLeaving[index]) response.setHeader('foxbarrow-leaving', '1');
      response.setHeader('content-length', 2);
      response.end('ok');
    };
  });
  const mesh = await createMesh({upstreams});
  t.teardown(() => mesh.close());
  async function send(body?: Buffer): Promise<number> {
    const method = body === undefined ? 'GET' : 'PUT';
    const answer = await request(`${mesh.url}/stock/7`, {method, body});
    await answer.body.dump();
    return answer.statusCode;
  }
  return {mesh, arrivals, send};
}

test('requests go to the others as soon as an instance reports its shutdown', async t => {
  const {arrivals, send} = await startMesh(t, [true, false]);
  for (let count = 0; count < 40; count++) t.is(await send(), 200);
  t.is(arrivals[0], 1);
});

for (const size of [1, 128 * 1024]) {
  test(`an entry keeps to a shutdown though the gate has restarted, bodies of ${size} bytes`, async t => {
    // A gate that has restarted knows of no shutdown and would pass requests on.
    const {mesh, arrivals, send} = await startMesh(t, [true]);
    t.is(await send(Buffer.alloc(size)), 200);
    for (let restart = 0; restart < 2; restart++) {
      await mesh.restartGate(0);
      t.is(await send(Buffer.alloc(size)), 503);
      t.is(await send(), 503);
    }
    t.is(arrivals[0], 1);
  });
}

test('an entry uses the next process of an instance that left', async t => {
  const isLeaving = [true];
  const {mesh, arrivals, send} = await startMesh(t, isLeaving);
  t.is(await send(), 200);
  t.is(await send(), 503);
  isLeaving[0] = false;
  await mesh.restartGate(0, 'next process');
  t.is(await send(), 200);
  t.is(arrivals[0], 2);
});

for (const size of [1, 128 * 1024]) {
  test(`the gate of another instance at the address says nothing of the one that left, bodies of ${size} bytes`, async t => {
    // Its refusals would make entries forget that the instance leaves.
    const {mesh, arrivals, send} = await startMesh(t, [true, false]);
    const [leaving, other] = mesh.members;
    while (arrivals[0] === 0) t.is(await send(), 200);
    const announce = (gate: string, incarnation: number) =>
      mesh.endpoints.put(
        announcementOf({instance: leaving!.instance, gate, incarnation}),
      );
    announce(other!.server.address, 2);
    for (let count = 0; count < 20; count++) {
      t.is(await send(Buffer.alloc(size)), 200);
    }
    await mesh.restartGate(0);
    mesh.timers.advance(3_000);
    for (let count = 0; count < 20; count++) t.is(await send(), 200);
    t.is(arrivals[0], 1);
  });
}

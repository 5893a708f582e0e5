import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {faultKinds} from '../upstreams/faults.js';
import {createUpstream} from '../upstreams/upstream.js';
import {runLoad} from './load.js';
import type {Summary} from './load.js';

/** Milliseconds; long enough that only a hanging call reaches it. */
const timeoutOfAnswered = 60_000;

/** Milliseconds to wait for an answer that is never sent. */
const hangTimeout = 300;

async function start() {
  const timers = createTimers();
  const upstream = createUpstream({
    service: 'stock-desk',
    instance: 'stock-desk-1',
    slots: 2,
    connections: 110,
    work: 2,
    coldStart: 0,
    lag: 0,
    overload: 'queue',
    timers,
    random: createRandom(1),
  });
  upstream.server.listen(0, '127.0.0.1');
  await once(upstream.server, 'listening');
  const {port} = upstream.server.address() as AddressInfo;
  const target = `127.0.0.1:${port}`;
  const load = (count: number, timeout: number): Promise<Summary> =>
    runLoad({
      targets: [target],
      rate: 1000,
      count,
      duration: timeoutOfAnswered,
      mix: [{kind: 'booking', weight: 1}],
      uploadBytes: 100,
      timeout,
      openLimit: 100,
      name: 'call',
      random: createRandom(2),
      timers,
    });
  return {upstream, target, load};
}

test('complete answers are counted and each booking runs once', async t => {
  const {upstream, load} = await start();
  const summary = await load(30, timeoutOfAnswered);
  t.is(summary.endings.whole, 30);
  t.is(Object.keys(upstream.counts().runs).length, 30);
  t.true(upstream.counts().greatestConcurrency <= 2);
  upstream.server.close();
});

for (const kind of faultKinds) {
  // The upstream injects the fault into its next answer. The caller receives no
  // complete answer, so the load must count the call as failed or cut.
  test(`an answer with the fault ${kind} does not count as whole`, async t => {
    const {upstream, target, load} = await start();
    const command = `http://${target}/control/fault?kind=${kind}&count=1`;
    await fetch(command, {method: 'POST'});
    const {endings} = await load(
      1,
      kind === 'hang' ? hangTimeout : timeoutOfAnswered,
    );
    t.is(endings.whole, 0);
    t.is(endings.failed + endings.cut, 1);
    upstream.server.close();
  });
}

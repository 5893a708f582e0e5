import test from 'ava';
import {createRandom} from '../random/random.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createAdmission} from './admission.js';
import type {SyncRequest} from './admission.js';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';

function setUp(rate: number) {
  const timers = createFakeTimers();
  const admission = createAdmission({
    timers,
    random: createRandom(1),
    rate,
    overhead: 0,
    maxQueueSeconds: 1,
    period: 10,
  });
  const admitted: string[] = [];
  const postponed: number[] = [];
  const offer = (name: string, need: number, cost: number) => {
    const sync: SyncRequest = {
      versionsBehind: need,
      cost,
      admit: () => admitted.push(name),
      postpone: after => postponed.push(after),
    };
    return admission.offer(sync);
  };
  return {timers, admission, admitted, postponed, offer};
}

test('requests are admitted at the rate, those that are furthest behind first', t => {
  const {timers, admitted, offer} = setUp(1000);
  offer('opening', 1, 10);
  offer('slightly behind', 1, 100);
  offer('far behind', 300, 100);
  offer('serves nothing', Infinity, 100);
  t.deepEqual(admitted, ['opening']);
  timers.advance(1000);
  t.deepEqual(admitted, [
    'opening',
    'serves nothing',
    'far behind',
    'slightly behind',
  ]);
});

test('of two requests that are equally far behind the cheaper is admitted first', t => {
  const {timers, admitted, offer} = setUp(1000);
  offer('opening', 1, 10);
  offer('dear', 5, 900);
  offer('cheap', 5, 10);
  timers.advance(1000);
  t.deepEqual(admitted, ['opening', 'cheap', 'dear']);
});

test('requests that exceed the queue are postponed by spread delays', t => {
  const {admission, postponed, offer} = setUp(1000);
  for (let sync = 0; sync < 1000; sync++) offer(`${sync}`, 1, 10);
  t.is(admission.waiting() + postponed.length, 999);
  t.true(admission.waiting() <= 100);
  const early = postponed.filter(after => after < 5000).length;
  const late = postponed.filter(after => after >= 5000).length;
  t.true(early > 200 && late > 100);
  t.true(postponed.every(after => after >= 1000 && after <= 10_000));
});

// Guards against nodes that reconnect together and wait half as long again as
// sending their states takes. Each postponed node gets a delay within the time
// that all postponed nodes need; a node that asks again must no longer count as
// postponed.
function timeOfLastAdmission(isReturnReported: boolean): number {
  const {timers, admission} = setUp(1000);
  let last = 0;
  const offer = () => {
    const ticket = admission.offer({
      versionsBehind: 1,
      cost: 20,
      admit: () => (last = timers.now()),
      postpone(after) {
        timers.after(after, () => {
          if (isReturnReported) ticket.cancel();
          offer();
        });
      },
    });
  };
  for (let sync = 0; sync < 500; sync++) offer();
  timers.advance(120_000);
  return last;
}

test('nodes that reconnect together take no longer than their states need', t => {
  t.true(timeOfLastAdmission(false) > 13_000);
  t.true(timeOfLastAdmission(true) < 10_200);
});

test('a cancelled request is not admitted', t => {
  const {timers, admitted, offer} = setUp(1000);
  offer('opening', 1, 10);
  offer('gone', 1, 10).cancel();
  timers.advance(1000);
  t.deepEqual(admitted, ['opening']);
});

// Guards against an accepted change that is late while 150 nodes of a failure
// domain reconnect. The push to a node that is in step is queued behind all
// states that its home has sent before, so their size must be bounded.
async function reconnectTogether(admission: boolean) {
  const cluster = createTestCluster();
  const operator = createOperator();
  const names = Array.from({length: 50}, (_, index) => `service-${index}`);
  operator.accept({put: names});
  const control = await cluster.control('control-1', operator, {
    safeguards: {admission},
    syncBytesPerSecond: 400_000,
  });
  const steady = cluster.node('steady', [control.address]);
  await cluster.timers.advanceAsync(2000);
  let sent = 0;
  let bytesAhead: number | undefined;
  cluster.network.decide((source, target, message) => {
    const text = JSON.stringify(message);
    if (source !== 'control-1' || !text.includes('"push"')) return 'deliver';
    if (target !== 'steady') sent += text.length;
    else bytesAhead ??= sent;
    return 'deliver';
  });
  const returningNodes = Array.from({length: 150}, (_, index) =>
    cluster.node(`node-${index}`, [control.address]),
  );
  await cluster.timers.advanceAsync(5);
  operator.accept({put: ['service-1']});
  await cluster.timers.advanceAsync(30);
  const steadyVersion = steady.subscriber.current()!.version;
  await cluster.timers.advanceAsync(30_000);
  const versions = returningNodes.map(
    node => node.subscriber.current()?.version,
  );
  const synced = versions.filter(version => version === 2).length;
  return {bytesAhead: bytesAhead!, steadyVersion, synced};
}

test('nodes that reconnect together do not delay an accepted change', async t => {
  const without = await reconnectTogether(false);
  const within = await reconnectTogether(true);
  t.is(within.steadyVersion, 2);
  t.true(
    without.bytesAhead > 20 * within.bytesAhead,
    JSON.stringify({without, within}),
  );
});

test('each of many nodes that reconnect together is served eventually', async t => {
  const {synced} = await reconnectTogether(true);
  t.is(synced, 150);
});

import test from 'ava';
import {createRandom} from '../random/random.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createAdmission} from './admission.js';
import type {Sync} from './admission.js';
import {createOperator, createStage} from './fakes/stage.js';

function setUp(rate: number) {
  const timers = createFakeTimers();
  const admission = createAdmission({
    timers,
    random: createRandom(1),
    rate,
    overhead: 0,
    horizon: 1,
    tick: 10,
  });
  const admitted: string[] = [];
  const postponed: number[] = [];
  const offer = (name: string, need: number, cost: number) => {
    const sync: Sync = {
      need,
      cost,
      admit: () => admitted.push(name),
      postpone: after => postponed.push(after),
    };
    return admission.offer(sync);
  };
  return {timers, admission, admitted, postponed, offer};
}

test('syncs are admitted at the rate, those in most need first', t => {
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

test('of equal need the cheaper goes first', t => {
  const {timers, admitted, offer} = setUp(1000);
  offer('opening', 1, 10);
  offer('dear', 5, 900);
  offer('cheap', 5, 10);
  timers.advance(1000);
  t.deepEqual(admitted, ['opening', 'cheap', 'dear']);
});

test('what does not fit into the horizon is told to come back, spread out', t => {
  const {admission, postponed, offer} = setUp(1000);
  for (let sync = 0; sync < 1000; sync++) offer(`${sync}`, 1, 10);
  t.is(admission.waiting() + postponed.length, 999);
  t.true(admission.waiting() <= 100);
  const early = postponed.filter(after => after < 5000).length;
  const late = postponed.filter(after => after >= 5000).length;
  t.true(early > 200 && late > 100);
  t.true(postponed.every(after => after >= 1000 && after <= 10_000));
});

// A herd would be out for half as long again as its states take to send. Each
// node that is told to come back is given a time within what those away will
// need; one that has come back must no longer count among them.
function bringBack(isNoted: boolean): number {
  const {timers, admission} = setUp(1000);
  let last = 0;
  const offer = () => {
    const ticket = admission.offer({
      need: 1,
      cost: 20,
      admit: () => (last = timers.now()),
      postpone(after) {
        timers.after(after, () => {
          if (isNoted) ticket.cancel();
          offer();
        });
      },
    });
  };
  for (let sync = 0; sync < 500; sync++) offer();
  timers.advance(120_000);
  return last;
}

test('a herd takes no longer than its states need', t => {
  t.true(bringBack(false) > 13_000);
  t.true(bringBack(true) < 10_200);
});

test('a cancelled sync is not admitted', t => {
  const {timers, admitted, offer} = setUp(1000);
  offer('opening', 1, 10);
  offer('gone', 1, 10).cancel();
  timers.advance(1000);
  t.deepEqual(admitted, ['opening']);
});

// Operators change the configuration while 150 nodes of a failure domain come
// back. A node that was in step all along waits for its push behind whatever
// state the home has put on the wire before it, so that must be bounded.
async function returnHerd(admission: boolean) {
  const stage = createStage();
  const operator = createOperator();
  const names = Array.from({length: 50}, (_, index) => `service-${index}`);
  operator.accept({put: names});
  const control = await stage.control('control-1', operator, {
    safeguards: {admission},
    syncBytesPerSecond: 400_000,
  });
  const steady = stage.node('steady', [control.address]);
  await stage.timers.advanceAsync(2000);
  let sent = 0;
  let ahead: number | undefined;
  stage.network.decide((source, target, message) => {
    const text = JSON.stringify(message);
    if (source !== 'control-1' || !text.includes('"push"')) return 'deliver';
    if (target !== 'steady') sent += text.length;
    else ahead ??= sent;
    return 'deliver';
  });
  const herd = Array.from({length: 150}, (_, index) =>
    stage.node(`node-${index}`, [control.address]),
  );
  await stage.timers.advanceAsync(5);
  operator.accept({put: ['service-1']});
  await stage.timers.advanceAsync(30);
  const steadyVersion = steady.subscriber.current()!.version;
  await stage.timers.advanceAsync(30_000);
  const versions = herd.map(node => node.subscriber.current()?.version);
  const synced = versions.filter(version => version === 2).length;
  return {ahead: ahead!, steadyVersion, synced};
}

test('a returning herd does not go ahead of an accepted change', async t => {
  const without = await returnHerd(false);
  const within = await returnHerd(true);
  t.is(within.steadyVersion, 2);
  t.true(without.ahead > 20 * within.ahead, JSON.stringify({without, within}));
});

test('each node of a herd is served in the end', async t => {
  const {synced} = await returnHerd(true);
  t.is(synced, 150);
});

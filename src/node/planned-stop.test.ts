import test from 'ava';
import {createAnnouncer} from '../endpoints/announcer.js';
import {createSilentLog} from '../log/log.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import {stopInOrder} from './planned-stop.js';

function setUp({
  gracePeriod = 3_500,
  hasUpstream = true,
  entryStopped = Promise.resolve(),
} = {}) {
  const timers = createFakeTimers();
  const steps: string[] = [];
  const record = (step: string) => async () => {
    steps.push(`${step} at ${timers.now()}`);
  };
  const announcer = createAnnouncer({
    name: 'node-1',
    gate: '127.0.0.1:1',
    failureDomain: 'rusayl-a',
    region: 'muscat',
    timers,
    log: createSilentLog(),
  });
  if (hasUpstream) {
    announcer.announce({
      service: 'stock-desk',
      address: '127.0.0.1:2',
      slots: 8,
      connections: 8,
      state: 'serving',
    });
  }
  announcer.onChange(({state}) => void record(state)());
  const stopped = stopInOrder(
    {
      announcer,
      announceServer: {address: '127.0.0.1:3', close: record('heartbeats')},
      entry: {
        stop: async () => {
          await record('entry')();
          await entryStopped;
        },
      },
      gate: {stop: record('gate')},
      gateServer: {stop: record('links')},
      stopLimit: {begin: end => void steps.push(`limit until ${end}`)},
      handOverClaims: record('claims'),
      gracePeriod,
      timers,
    },
    5_000,
  );
  return {timers, steps, stopped};
}

test('a gate stays open until shortly before the end of the grace period for callers', async t => {
  // In a rolling restart each node has a grace period of some seconds for its
  // callers. If the gate were closed for all of it, callers of the service would
  // wait or be refused although all instances are healthy.
  const {timers, steps, stopped} = setUp();
  await settle();
  t.deepEqual(steps, ['limit until 5000', 'entry at 0']);
  timers.advance(1_999);
  await settle();
  t.is(steps.length, 2);
  timers.advance(1);
  await stopped;
  t.deepEqual(steps, [
    'limit until 5000',
    'entry at 0',
    'heartbeats at 2000',
    'draining at 2000',
    'gate at 2000',
    'claims at 2000',
    'links at 2000',
    'gone at 2000',
  ]);
});

for (const options of [{gracePeriod: 500}, {hasUpstream: false}]) {
  test(`a gate closes at once, ${JSON.stringify(options)}`, async t => {
    const {steps, stopped} = setUp(options);
    await stopped;
    t.true(steps.includes('gate at 0'));
  });
}

test('the links of a gate close while the entry finishes its requests', async t => {
  // A node was away for longer, as it closed them one after the other.
  let finishEntry = () => {};
  const entryStopped = new Promise<void>(resolve => (finishEntry = resolve));
  const {timers, steps, stopped} = setUp({entryStopped});
  await settle();
  timers.advance(2_000);
  await settle();
  t.true(steps.includes('links at 2000'));
  t.false(steps.includes('gone at 2000'));
  timers.advance(1_000);
  finishEntry();
  await stopped;
  t.is(steps.at(-1), 'gone at 3000');
});

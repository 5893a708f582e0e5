import test from 'ava';
import {createAnnouncer} from '../endpoints/announcer.js';
import {createSilentLog} from '../log/log.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import {stopInOrder} from './planned-stop.js';

function stage({grace = 3_500, hasUpstream = true} = {}) {
  const timers = createFakeTimers();
  const steps: string[] = [];
  const note = (step: string) => async () => {
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
  announcer.onChange(({state}) => void note(state)());
  const stopped = stopInOrder(
    {
      announcer,
      announceServer: {address: '127.0.0.1:3', close: note('heartbeats')},
      entry: {stop: note('entry')},
      gate: {stop: note('gate')},
      gateServer: {stop: note('links')},
      handOverClaims: note('claims'),
      gracePeriod: grace,
      timers,
    },
    5_000,
  );
  return {timers, steps, stopped};
}

test('a gate stays open until near the end of the grace for callers', async t => {
  // Nodes are restarted one after the other, each with a grace of seconds for
  // its callers. With the gate closed for all of it, callers of the service wait
  // or are refused for want of instances that are all well.
  const {timers, steps, stopped} = stage();
  await settle();
  t.deepEqual(steps, ['entry at 0']);
  timers.advance(1_999);
  await settle();
  t.is(steps.length, 1);
  timers.advance(1);
  await stopped;
  t.deepEqual(steps, [
    'entry at 0',
    'heartbeats at 2000',
    'draining at 2000',
    'gate at 2000',
    'claims at 2000',
    'links at 2000',
    'gone at 2000',
  ]);
});

for (const options of [{grace: 500}, {hasUpstream: false}]) {
  test(`a gate closes at once, ${JSON.stringify(options)}`, async t => {
    const {steps, stopped} = stage(options);
    await stopped;
    t.true(steps.includes('gate at 0'));
  });
}

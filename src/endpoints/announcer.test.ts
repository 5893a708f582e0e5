import test from 'ava';
import {createSilentLog} from '../log/log.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createAnnouncer} from './announcer.js';
import {endpointCodes} from './codes.js';
import {upstream} from './fakes/mesh.js';

function start() {
  const timers = createFakeTimers(1_000_000);
  const announcer = createAnnouncer({
    name: 'crewbook-1',
    gate: '10.0.0.1:7000',
    failureDomain: 'hall-a',
    region: 'astana',
    timers,
    log: createSilentLog(),
    warmUp: 5000,
  });
  const states: string[] = [];
  announcer.onChange(({incarnation, sequence, state}) =>
    states.push(`${incarnation}.${sequence} ${state}`),
  );
  return {timers, announcer, states};
}

test('an instance warms up, serves, drains, resumes and leaves', t => {
  const {timers, announcer, states} = start();
  announcer.announce(upstream());
  timers.advance(5000);
  announcer.announce(upstream({state: 'draining'}));
  announcer.announce(upstream());
  announcer.announce(upstream());
  announcer.withdraw();
  t.deepEqual(states, [
    '1000000.1 warming',
    '1000000.2 serving',
    '1000000.3 draining',
    '1000000.4 serving',
    '1000000.5 gone',
  ]);
});

test('an upstream that announces itself as warming determines when that ends', t => {
  const {timers, announcer, states} = start();
  announcer.announce(upstream({state: 'warming'}));
  timers.advance(60_000);
  announcer.announce(upstream());
  t.deepEqual(states, ['1000000.1 warming', '1000000.2 serving']);
});

test('an upstream that returns after leaving or has another start is a new incarnation', t => {
  const {announcer, states} = start();
  announcer.announce(upstream({state: 'warming', started: 1}));
  announcer.announce(upstream({state: 'warming', started: 2}));
  announcer.withdraw();
  announcer.announce(upstream({state: 'warming', started: 2}));
  t.deepEqual(states, [
    '1000000.1 warming',
    '1000001.1 warming',
    '1000001.2 gone',
    '1000002.1 warming',
  ]);
});

test("an operator's drain holds whatever the upstream announces", t => {
  const {announcer} = start();
  announcer.setDrains(new Set(['crewbook-1']));
  announcer.announce(upstream());
  t.is(announcer.current()!.state, 'draining');
  announcer.announce(upstream());
  t.is(announcer.current()!.state, 'draining');
  announcer.setDrains(new Set(['crewbook-2']));
  t.is(announcer.current()!.state, 'serving');
});

test('an announced upstream cannot change its instance id', t => {
  const {announcer} = start();
  announcer.announce(upstream());
  const result = announcer.announce(upstream({instance: 'crewbook-2'}));
  t.is(!result.ok && result.code, endpointCodes.announcementForeign);
});

test('an upstream that reports its shutdown drains whatever it announces', t => {
  // A later announcement that it serves would take back what its answers said.
  const {timers, announcer, states} = start();
  announcer.announce(upstream({started: 1}));
  timers.advance(5000);
  announcer.leave();
  announcer.leave();
  announcer.announce(upstream({started: 1}));
  announcer.announce(upstream({started: 1, slots: 5}));
  t.deepEqual(states, [
    '1000000.1 warming',
    '1000000.2 serving',
    '1000000.3 draining',
    '1000000.4 draining',
  ]);
});

test('the next process of an upstream does not leave', t => {
  const {announcer, states} = start();
  announcer.announce(upstream({started: 1}));
  announcer.leave();
  announcer.announce(upstream({started: 2}));
  t.is(states.at(-1), '1000001.1 warming');
  announcer.leave();
  announcer.withdraw();
  announcer.announce(upstream());
  t.is(states.at(-1), '1000002.1 warming');
  announcer.leave();
  announcer.setReachable(false);
  announcer.setReachable(true);
  t.is(states.at(-1), '1000003.1 warming');
});

test('an upstream that leaves still does so when it can be reached again', t => {
  const {announcer, states} = start();
  announcer.announce(upstream({started: 1}));
  announcer.leave();
  announcer.setReachable(false);
  announcer.setReachable(true);
  t.is(states.at(-1), '1000001.1 draining');
});

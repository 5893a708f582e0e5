import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createDepartures} from './departures.js';

const rate = 1_000_000;
const size = 100_000;

function stage() {
  const clock = createFakeTimers();
  const link = {waiting: 0};
  const departures = createDepartures({
    rate,
    waiting: () => link.waiting,
    clock,
  });
  departures.learn('archive', size);
  departures.learn('lookup', 400);
  /** Asks for work of a kind whose answer is good for 640 ms; starts it if let. */
  function ask(kind: string) {
    const reason = departures.refusal(kind, clock.now() + 640);
    return {reason, departure: reason ? undefined : departures.promise(kind)};
  }
  return {link, departures, ask};
}

test('large answers are promised as much as leaves in time, and no more', t => {
  const {departures, ask} = stage();
  for (let call = 0; call < 4; call++) t.is(ask('archive').reason, undefined);
  const {reason} = ask('archive');
  t.is(reason?.code.name, 'deadline-unreachable');
  t.is(reason?.code.effect, 'not-run');
  t.is(reason?.retryAfter, 0.4);
  t.true(departures.load >= 1);
});

test('small answers start whatever large ones wait', t => {
  const {link, departures, ask} = stage();
  link.waiting = 10 * size;
  t.is(ask('lookup').reason, undefined);
  t.is(ask('unknown').reason, undefined);
  t.true(departures.isLarge('archive'));
  t.false(departures.isLarge('lookup'));
});

test('an answer that ended, whole or not, gives its room back', t => {
  const {departures, ask} = stage();
  const first = ask('archive').departure!;
  const full = departures.load;
  first.came(size / 4);
  first.end();
  first.end();
  t.true(departures.load < full);
  for (let call = 0; call < 4; call++) t.is(ask('archive').reason, undefined);
});

test('what has come counts once, in the outlet', t => {
  const {link, departures, ask} = stage();
  const first = ask('archive').departure!;
  const before = departures.load;
  first.came(size / 2);
  link.waiting = size / 2;
  t.is(departures.load, before);
});

test('a free link is tried, however large the answers are', t => {
  const {departures, ask} = stage();
  departures.learn('video', 10 * size);
  t.is(ask('video').reason, undefined);
  t.not(ask('video').reason, undefined);
});

import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createFakeAnswer} from '../fakes/fake-answer.js';
import {createOutlet} from '../transport/outlet.js';
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
  return {clock, link, departures, ask};
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

// A film of minutes would be promised all that leaves meanwhile, and each
// archive be refused though it has its turn soon.
test('an endless answer keeps room for one turn', t => {
  const {departures, ask} = stage();
  departures.learn('film', 1000 * size);
  t.is(ask('film').reason, undefined);
  t.is(ask('archive').reason, undefined);
});

// Sums of means leave a rest behind, which must not pass for a promise.
test('a link counts as free again after answers of uneven sizes', t => {
  const {departures, ask} = stage();
  departures.learn('video', 10 * size);
  for (let round = 1; round <= 30; round++) {
    departures.learn('archive', 60_000 + 1_777 * round);
    departures.learn('report', 20_000 + 777 * round);
    const kinds = ['archive', 'report', 'archive', 'report'];
    const promised = kinds.map(kind => ask(kind).departure!);
    for (const departure of promised) departure.came(16_384);
    for (const departure of promised) departure.end();
    t.is(departures.refusal('video', 500), undefined, `round ${round}`);
  }
});

// A policy whose answers have become small would be refused for ever, since only
// answers that come tell so.
test('answers that seem too large ever to fit are tried one at a time', t => {
  const {clock, link, departures} = stage();
  const refusal = () => departures.refusal('report', clock.now() + 200);
  departures.learn('report', 20 * size);
  link.waiting = 1;
  t.is(refusal(), undefined);
  const first = departures.promise('report');
  t.is(refusal()?.code.name, 'deadline-unreachable');
  first.end();
  first.end();
  t.is(refusal(), undefined);
});

test('calls that come late do not make the link seem full', t => {
  const {clock, departures, ask} = stage();
  t.is(departures.refusal('archive', clock.now()), undefined);
  t.true(Number.isFinite(departures.load));
  ask('archive').departure!.end();
  const before = departures.load;
  for (let call = 0; call < 50; call++) {
    departures.refusal('archive', clock.now());
  }
  t.is(departures.load, before);
});

for (const share of [0.3, 0.6]) {
  test(`large answers are in time or refused beside small ones at ${share} of the link`, t => {
    const timers = createFakeTimers();
    const outlet = createOutlet({rate, timers});
    const departures = createDepartures({
      rate,
      waiting: () => outlet.waiting,
      taken: () => outlet.taken,
      clock: timers,
    });
    departures.learn('archive', size);
    const counts = {inTime: 0, late: 0};

    function answer(bytes: number, ended: () => void): void {
      const inner = createFakeAnswer();
      const leaving = outlet.to(Object.assign(inner, {end: ended}));
      leaving.write(Buffer.alloc(bytes));
      leaving.end();
    }

    function ask(): void {
      const until = timers.now() + 500;
      if (departures.refusal('archive', until) !== undefined) return;
      const departure = departures.promise('archive');
      timers.after(100, () => {
        departure.came(size);
        departure.end();
        answer(size, () => counts[timers.now() <= until ? 'inTime' : 'late']++);
      });
    }

    timers.every(10, () => answer((share * rate) / 100, () => {}));
    timers.every(40, ask);
    timers.advance(20_000);
    const possible = (20 * (1 - share) * rate) / size;
    t.true(counts.inTime > 0.8 * possible, JSON.stringify(counts));
    t.true(counts.late < 0.1 * possible, JSON.stringify(counts));
  });
}

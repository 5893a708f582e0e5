import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createFakeAnswer} from '../fakes/fake-answer.js';
import {createEgressQueue} from '../transport/egress-queue.js';
import {createEgressReservations} from './egress-reservations.js';

const rate = 1_000_000;
const size = 100_000;

function stage() {
  const clock = createFakeTimers();
  const link = {waiting: 0};
  const reservations = createEgressReservations({
    rate,
    waiting: () => link.waiting,
    clock,
  });
  reservations.recordSize('archive', size);
  reservations.recordSize('lookup', 400);
  /** Asks for work of a kind whose answer is good for 640 ms; starts it if let. */
  function ask(kind: string) {
    const reason = reservations.refusal(kind, clock.now() + 640);
    return {
      reason,
      reservation: reason ? undefined : reservations.reserve(kind),
    };
  }
  return {clock, link, reservations, ask};
}

test('large answers reserve as much as leaves in time, and no more', t => {
  const {reservations, ask} = stage();
  for (let call = 0; call < 4; call++) t.is(ask('archive').reason, undefined);
  const {reason} = ask('archive');
  t.is(reason?.code.name, 'deadline-unreachable');
  t.is(reason?.code.effect, 'not-run');
  t.is(reason?.retryAfter, 0.4);
  t.true(reservations.load >= 1);
});

test('small answers start whatever large ones wait', t => {
  const {link, reservations, ask} = stage();
  link.waiting = 10 * size;
  t.is(ask('lookup').reason, undefined);
  t.is(ask('unknown').reason, undefined);
  t.true(reservations.isLarge('archive'));
  t.false(reservations.isLarge('lookup'));
});

test('an answer that ended, whole or not, gives its room back', t => {
  const {reservations, ask} = stage();
  const first = ask('archive').reservation!;
  const full = reservations.load;
  first.arrived(size / 4);
  first.end();
  first.end();
  t.true(reservations.load < full);
  for (let call = 0; call < 4; call++) t.is(ask('archive').reason, undefined);
});

test('what has come counts once, in the egressQueue', t => {
  const {link, reservations, ask} = stage();
  const first = ask('archive').reservation!;
  const before = reservations.load;
  first.arrived(size / 2);
  link.waiting = size / 2;
  t.is(reservations.load, before);
});

test('a free link is tried, however large the answers are', t => {
  const {reservations, ask} = stage();
  reservations.recordSize('video', 10 * size);
  t.is(ask('video').reason, undefined);
  t.not(ask('video').reason, undefined);
});

// A film of minutes would reserve all that leaves meanwhile, and each
// archive be refused though it has its turn soon.
test('an endless answer keeps room for one turn', t => {
  const {reservations, ask} = stage();
  reservations.recordSize('film', 1000 * size);
  t.is(ask('film').reason, undefined);
  t.is(ask('archive').reason, undefined);
});

// Sums of means leave a rest behind, which must not pass for a reservation.
test('a link counts as free again after answers of uneven sizes', t => {
  const {reservations, ask} = stage();
  reservations.recordSize('video', 10 * size);
  for (let round = 1; round <= 30; round++) {
    reservations.recordSize('archive', 60_000 + 1_777 * round);
    reservations.recordSize('report', 20_000 + 777 * round);
    const kinds = ['archive', 'report', 'archive', 'report'];
    const reserved = kinds.map(kind => ask(kind).reservation!);
    for (const reservation of reserved) reservation.arrived(16_384);
    for (const reservation of reserved) reservation.end();
    t.is(reservations.refusal('video', 500), undefined, `round ${round}`);
  }
});

// A policy whose answers have become small would be refused for ever, since only
// answers that come tell so.
test('answers that seem too large ever to fit are tried one at a time', t => {
  const {clock, link, reservations} = stage();
  const refusal = () => reservations.refusal('report', clock.now() + 200);
  reservations.recordSize('report', 20 * size);
  link.waiting = 1;
  t.is(refusal(), undefined);
  const first = reservations.reserve('report');
  t.is(refusal()?.code.name, 'deadline-unreachable');
  first.end();
  first.end();
  t.is(refusal(), undefined);
});

test('calls that come late do not make the link seem full', t => {
  const {clock, reservations, ask} = stage();
  t.is(reservations.refusal('archive', clock.now()), undefined);
  t.true(Number.isFinite(reservations.load));
  ask('archive').reservation!.end();
  const before = reservations.load;
  for (let call = 0; call < 50; call++) {
    reservations.refusal('archive', clock.now());
  }
  t.is(reservations.load, before);
});

for (const share of [0.3, 0.6]) {
  test(`large answers are in time or refused beside small ones at ${share} of the link`, t => {
    const timers = createFakeTimers();
    const egressQueue = createEgressQueue({rate, timers});
    const reservations = createEgressReservations({
      rate,
      waiting: () => egressQueue.waiting,
      taken: () => egressQueue.taken,
      clock: timers,
    });
    reservations.recordSize('archive', size);
    const counts = {inTime: 0, late: 0};

    function answer(bytes: number, ended: () => void): void {
      const inner = createFakeAnswer();
      const leaving = egressQueue.to(Object.assign(inner, {end: ended}));
      leaving.write(Buffer.alloc(bytes));
      leaving.end();
    }

    function ask(): void {
      const until = timers.now() + 500;
      if (reservations.refusal('archive', until) !== undefined) return;
      const reservation = reservations.reserve('archive');
      timers.after(100, () => {
        reservation.arrived(size);
        reservation.end();
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

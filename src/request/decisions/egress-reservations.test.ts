import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createFakeAnswer} from '../fakes/fake-answer.js';
import {createEgressQueue} from '../transport/egress-queue.js';
import {createEgressReservations} from './egress-reservations.js';

const rate = 1_000_000;
const size = 100_000;

function setUp() {
  const clock = createFakeTimers();
  const link = {waiting: 0};
  const reservations = createEgressReservations({
    rate,
    waiting: () => link.waiting,
    clock,
  });
  reservations.recordSize('archive', size);
  reservations.recordSize('lookup', 400);
  /**
   * Reserves an answer of a kind with 640 ms to its deadline, unless refused.
   */
  function offer(kind: string) {
    const reason = reservations.refusal(kind, clock.now() + 640);
    return {
      reason,
      reservation: reason ? undefined : reservations.reserve(kind),
    };
  }
  return {clock, link, reservations, offer};
}

test('large answers reserve no more than can be sent in time', t => {
  const {reservations, offer} = setUp();
  for (let call = 0; call < 4; call++) t.is(offer('archive').reason, undefined);
  const {reason} = offer('archive');
  t.is(reason?.code.name, 'deadline-unreachable');
  t.is(reason?.code.effect, 'not-run');
  t.is(reason?.retryAfter, 0.4);
  t.true(reservations.load >= 1);
});

test('small answers start regardless of queued large ones', t => {
  const {link, reservations, offer} = setUp();
  link.waiting = 10 * size;
  t.is(offer('lookup').reason, undefined);
  t.is(offer('unknown').reason, undefined);
  t.true(reservations.isLarge('archive'));
  t.false(reservations.isLarge('lookup'));
});

test('an answer that ended, complete or not, releases its reservation', t => {
  const {reservations, offer} = setUp();
  const first = offer('archive').reservation!;
  const full = reservations.load;
  first.arrived(size / 4);
  first.end();
  first.end();
  t.true(reservations.load < full);
  for (let call = 0; call < 4; call++) t.is(offer('archive').reason, undefined);
});

test('bytes that arrived are counted once, in the egress queue', t => {
  const {link, reservations, offer} = setUp();
  const first = offer('archive').reservation!;
  const before = reservations.load;
  first.arrived(size / 2);
  link.waiting = size / 2;
  t.is(reservations.load, before);
});

test('an idle link accepts an answer of any size', t => {
  const {reservations, offer} = setUp();
  reservations.recordSize('video', 10 * size);
  t.is(offer('video').reason, undefined);
  t.not(offer('video').reason, undefined);
});

// A stream that lasts for minutes would reserve the link for that time, and
// other large answers would be refused although they are served after one
// quantum.
test('an endless answer reserves one quantum', t => {
  const {reservations, offer} = setUp();
  reservations.recordSize('film', 1000 * size);
  t.is(offer('film').reason, undefined);
  t.is(offer('archive').reason, undefined);
});

// Sums of fractional means leave a rounding error, which must not count as a
// reservation.
test('a link is idle again after answers of fractional sizes', t => {
  const {reservations, offer} = setUp();
  reservations.recordSize('video', 10 * size);
  for (let round = 1; round <= 30; round++) {
    reservations.recordSize('archive', 60_000 + 1_777 * round);
    reservations.recordSize('report', 20_000 + 777 * round);
    const kinds = ['archive', 'report', 'archive', 'report'];
    const reserved = kinds.map(kind => offer(kind).reservation!);
    for (const reservation of reserved) reservation.arrived(16_384);
    for (const reservation of reserved) reservation.end();
    t.is(reservations.refusal('video', 500), undefined, `round ${round}`);
  }
});

// A policy whose answers have become small would be refused permanently, since
// only new answers correct the estimate.
test('answers that seem to be too large for the link are admitted one at a time', t => {
  const {clock, link, reservations} = setUp();
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

test('calls past their deadline do not raise the load of the link', t => {
  const {clock, reservations, offer} = setUp();
  t.is(reservations.refusal('archive', clock.now()), undefined);
  t.true(Number.isFinite(reservations.load));
  offer('archive').reservation!.end();
  const before = reservations.load;
  for (let call = 0; call < 50; call++) {
    reservations.refusal('archive', clock.now());
  }
  t.is(reservations.load, before);
});

for (const share of [0.3, 0.6]) {
  test(`large answers are in time or refused, with small ones at ${share} of the link`, t => {
    const timers = createFakeTimers();
    const queue = createEgressQueue({rate, timers});
    const reservations = createEgressReservations({
      rate,
      waiting: () => queue.waiting,
      taken: () => queue.taken,
      clock: timers,
    });
    reservations.recordSize('archive', size);
    const counts = {inTime: 0, late: 0};

    function answer(bytes: number, ended: () => void): void {
      const inner = createFakeAnswer();
      const queued = queue.to(Object.assign(inner, {end: ended}));
      queued.write(Buffer.alloc(bytes));
      queued.end();
    }

    function offer(): void {
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
    timers.every(40, offer);
    timers.advance(20_000);
    const capacity = (20 * (1 - share) * rate) / size;
    t.true(counts.inTime > 0.8 * capacity, JSON.stringify(counts));
    t.true(counts.late < 0.1 * capacity, JSON.stringify(counts));
  });
}

import test from 'ava';
import {createRandom} from '../../random/random.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {requestCodes} from '../messages/codes.js';
import {recordTickets} from '../fakes/recorded-tickets.js';
import {createRefusal} from '../messages/refusal.js';
import type {StreamUpload} from '../messages/upload.js';
import {createAdmission} from './admission.js';
import type {Ticket} from './admission.js';
import {uploadSlotsFor, withUploadSlots} from './upload-slots.js';

/** A body that the test ends. */
function createBody(isPaced = true) {
  let observe: (isWhole: boolean) => void = () => {};
  const body = {
    kind: 'stream',
    isPaced,
    onEnd: (next: typeof observe) => void (observe = next),
  } as unknown as StreamUpload;
  return {body, end: (isWhole: boolean) => observe(isWhole)};
}

function setUp(uploadSlots = 2, slots = 6) {
  const clock = createFakeTimers();
  const admission = withUploadSlots({
    admission: createAdmission({slots, queueLength: 36, clock}),
    slots,
    uploadSlots,
    queueLength: 36,
    clock,
  });
  const tickets = recordTickets(admission);
  function offer(name: string, body?: StreamUpload, deadline = 1e6): Ticket {
    const kind = body === undefined ? 'lookup' : 'upload';
    return tickets.offer(name, {kind, body, deadline});
  }
  return {clock, events: tickets.events, admission, offer};
}

test('uploads beyond the upload slots wait without an upstream slot', t => {
  const {admission, events, offer} = setUp();
  for (const name of ['a', 'b', 'c', 'd']) offer(name, createBody().body);
  offer('lookup');
  t.deepEqual(events, ['a starts', 'b starts', 'lookup starts']);
  t.is(admission.running, 3);
  t.is(admission.waiting, 2);
});

// Uploads of callers on the same VM must not wait for the link.
test('a body that does not cross the link needs no upload slot', t => {
  const {events, offer} = setUp(1);
  offer('a', createBody().body);
  offer('b', createBody().body);
  offer('own', createBody(false).body);
  t.deepEqual(events, ['a starts', 'own starts']);
});

for (const isWhole of [true, false]) {
  test(`a body that has ended releases its upload slot, complete: ${isWhole}`, t => {
    const {events, offer} = setUp(1);
    const first = createBody();
    offer('a', first.body);
    offer('b', createBody().body);
    first.end(isWhole);
    t.deepEqual(events, ['a starts', 'b starts']);
  });
}

test('a withdrawn upload does not start', t => {
  const {admission, events, offer} = setUp(1);
  const first = createBody();
  offer('a', first.body);
  const second = offer('b', createBody().body);
  t.true(admission.withdraw(second));
  t.false(admission.withdraw(second));
  first.end(true);
  t.deepEqual(events, ['a starts']);
});

test('a drain refuses the uploads that wait for an upload slot', t => {
  const {admission, events, offer} = setUp(1);
  offer('a', createBody().body);
  offer('b', createBody().body);
  admission.refuseWaiting(createRefusal(requestCodes.draining));
  t.deepEqual(events, ['a starts', 'b draining']);
});

test('an upload whose body can’t arrive in time is refused immediately', t => {
  const {clock, events, offer} = setUp(1);
  const first = createBody();
  offer('a', first.body);
  clock.advance(1000);
  first.end(true);
  offer('b', createBody().body);
  offer('c', createBody().body, clock.now() + 1500);
  t.deepEqual(events.slice(2), ['c deadline-unreachable']);
});

test('with as many upload slots as slots, uploads start in the order of arrival', t => {
  const {admission, events, offer} = setUp(2, 2);
  for (const name of ['a', 'b', 'c', 'd']) offer(name, createBody().body);
  admission.done(10);
  t.deepEqual(events, ['a starts', 'b starts', 'c starts']);
});

test('a fast link has many upload slots, a slow one at least two', t => {
  t.is(uploadSlotsFor(94_000_000), 179);
  t.is(uploadSlotsFor(1_600_000), 3);
  t.is(uploadSlotsFor(100_000), 2);
});

interface Transfer {
  left: number;
  done(): void;
}

/**
 * Simulates sixty seconds of short lookups and of uploads that nearly fill a
 * link, at an instance with nine slots. Returns the share of lookups that
 * started within 200 ms, and of uploads that were complete within their
 * deadline of 3 s, and within 1.2 s (good).
 */
function simulate(uploadSlots: number) {
  const clock = createFakeTimers();
  const random = createRandom(7);
  const {bytesPerTick, tick} = {bytesPerTick: 9800, tick: 10};
  const admission = withUploadSlots({
    admission: createAdmission({slots: 9, queueLength: 36, clock}),
    slots: 9,
    uploadSlots,
    queueLength: 36,
    clock,
  });
  const link = new Set<Transfer>();
  const count = {lookups: 0, inTime: 0, uploads: 0, whole: 0, good: 0};

  function lookUp(): void {
    count.lookups++;
    const offeredAt = clock.now();
    admission.offer({
      rank: 'normal',
      kind: 'lookup',
      deadline: offeredAt + 1000,
      start() {
        if (clock.now() - offeredAt <= 200) count.inTime++;
        clock.after(50, () => admission.done(50, 'lookup'));
      },
      refuse() {},
    });
  }

  function upload(): void {
    count.uploads++;
    const {body, end} = createBody();
    const offeredAt = clock.now();
    const deadline = offeredAt + 3000;
    admission.offer({
      rank: 'normal',
      kind: 'upload',
      body,
      deadline,
      start() {
        const startedAt = clock.now();
        const remaining = 560_000 * random.fraction();
        link.add({
          left: remaining,
          done() {
            end(true);
            if (clock.now() <= deadline) count.whole++;
            if (clock.now() <= offeredAt + 1200) count.good++;
            admission.done(clock.now() - startedAt, 'upload');
          },
        });
      },
      refuse() {},
    });
  }

  function transmit(): void {
    const share = bytesPerTick / link.size;
    for (const transfer of [...link]) {
      transfer.left -= share;
      if (transfer.left > 0) continue;
      link.delete(transfer);
      transfer.done();
    }
  }

  clock.every(tick, () => {
    transmit();
    if (random.fraction() < 0.04) upload();
    if (random.fraction() < 0.2) lookUp();
  });
  clock.advance(60_000);
  return {
    lookups: count.inTime / count.lookups,
    uploads: count.whole / count.uploads,
    good: count.good / count.uploads,
  };
}

// Lookups at instances with uploads were late or refused although the instance
// was idle: the bodies shared the link, took seconds and occupied all slots.
// With upload slots, lookups are in time and at least as many uploads are
// complete in time.
test('lookups get slots while uploads fill the link', t => {
  const shared = simulate(9);
  const limited = simulate(3);
  t.true(limited.lookups > 0.97, `lookups ${limited.lookups}`);
  t.true(limited.lookups > shared.lookups, `lookups ${shared.lookups} before`);
  t.true(
    limited.uploads >= shared.uploads,
    `uploads ${shared.uploads} to ${limited.uploads}`,
  );
  t.true(limited.good > shared.good, `good ${shared.good} to ${limited.good}`);
});

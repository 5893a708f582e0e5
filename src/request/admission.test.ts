import test from 'ava';
import type {Priority} from '../configuration/configuration.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createAdmission} from './admission.js';
import type {AdmissionOptions, Ticket} from './admission.js';
import {requestCodes} from './codes.js';
import {refusal} from './refusal.js';

function stage(changes: Partial<AdmissionOptions> = {}) {
  const clock = createFakeTimers();
  const events: string[] = [];
  const admission = createAdmission({
    slots: 1,
    queueLength: 3,
    clock,
    ...changes,
  });
  function offer(
    name: string,
    priority: Priority = 'normal',
    deadline = 1e6,
  ): Ticket {
    const ticket: Ticket = {
      priority,
      deadline,
      start: () => events.push(`${name} starts`),
      refuse: reason => events.push(`${name} ${reason.code.name}`),
    };
    admission.offer(ticket);
    return ticket;
  }
  return {clock, events, admission, offer};
}

test('work starts while there are slots, then waits in order', t => {
  const {admission, events, offer} = stage({slots: 2});
  for (const name of ['a', 'b', 'c', 'd']) offer(name);
  t.deepEqual(events, ['a starts', 'b starts']);
  admission.done(10);
  admission.done(10);
  t.deepEqual(events.slice(2), ['c starts', 'd starts']);
});

test('critical work goes first and background work last', t => {
  const {admission, events, offer} = stage();
  offer('running');
  offer('pull', 'background');
  offer('lookup', 'normal');
  offer('gate check', 'critical');
  for (let count = 0; count < 3; count++) admission.done(10);
  t.deepEqual(events.slice(1), [
    'gate check starts',
    'lookup starts',
    'pull starts',
  ]);
});

test('a full queue gives up its lowest work for higher work, at once', t => {
  const {events, offer} = stage({queueLength: 1});
  offer('running');
  offer('pull', 'background');
  offer('gate check', 'critical');
  offer('lookup', 'normal');
  t.deepEqual(events.slice(1), ['pull full', 'lookup full']);
});

for (const floor of [0, 0.1]) {
  test(`background work under a stream of critical work, floor ${floor}`, t => {
    // A critical call is always waiting. Without a floor the catalogue pull
    // never starts, however long the stream lasts.
    const {admission, events, offer} = stage({floor});
    offer('running');
    offer('pull', 'background');
    for (let turn = 0; turn < 50; turn++) {
      offer(`check ${turn}`, 'critical');
      admission.done(10);
    }
    t.is(events.includes('pull starts'), floor > 0);
  });
}

test('what cannot finish in time is refused when it comes', t => {
  const {admission, events, offer} = stage();
  offer('first');
  admission.done(100);
  offer('second');
  offer('hurried', 'normal', 150);
  t.deepEqual(events.slice(2), ['hurried deadline-unreachable']);
});

test('waiting work is refused as soon as others put it out of reach', t => {
  const {admission, events, offer} = stage();
  offer('first');
  admission.done(100);
  offer('second');
  offer('lookup', 'normal', 250);
  t.is(events.length, 2);
  offer('gate check', 'critical');
  t.deepEqual(events.slice(2), ['lookup deadline-unreachable']);
});

for (const deadlineTest of [false, true]) {
  test(`twice the work there is room for, deadline test: ${deadlineTest}`, t => {
    // Each takes 100 ms and must end within 300 ms; two come in that time.
    // Without the test the slot goes to work that ends too late, and most of
    // what is run is run in vain.
    const {admission, clock, offer} = stage({
      queueLength: 100,
      safeguards: {deadlineTest},
    });
    let inTime = 0;
    let running: number | undefined;
    const finishAt = (deadline: number) => {
      running = deadline;
    };
    offer('first');
    admission.done(100);
    for (let now = 0; now < 10_000; now += 50) {
      if (now % 100 === 0 && running !== undefined) {
        if (now <= running) inTime++;
        running = undefined;
        admission.done(100);
      }
      const deadline = now + 300;
      admission.offer({
        priority: 'normal',
        deadline,
        start: () => finishAt(deadline),
        refuse: () => {},
      });
      clock.advance(50);
    }
    if (deadlineTest) t.true(inTime > 90, String(inTime));
    else t.true(inTime < 10, String(inTime));
  });
}

test('a slow phase does not shut the gate for good', t => {
  const {admission, events, offer} = stage();
  offer('slow');
  admission.done(10_000);
  for (let count = 0; count < 100; count++) {
    offer(`quick ${count}`, 'normal', 100);
    if (admission.running > 0) break;
  }
  t.regex(events.at(-1)!, /starts/);
});

test('work that leaves the queue is neither started nor refused', t => {
  const {admission, events, offer} = stage();
  offer('running');
  const left = offer('left');
  t.true(admission.withdraw(left));
  t.false(admission.withdraw(left));
  admission.done(10);
  t.deepEqual(events, ['running starts']);
});

test('a drain refuses all that waits', t => {
  const {admission, events, offer} = stage();
  offer('running');
  offer('lookup');
  offer('pull', 'background');
  admission.refuseWaiting(refusal(requestCodes.draining));
  t.deepEqual(events.slice(1), ['lookup draining', 'pull draining']);
  t.is(admission.waiting, 0);
});

test('background work leaves the reserved slots free', t => {
  const {events, offer} = stage({slots: 2, reserve: 1});
  offer('pull 1', 'background');
  offer('pull 2', 'background');
  offer('gate check', 'critical');
  t.deepEqual(events, ['pull 1 starts', 'gate check starts']);
});

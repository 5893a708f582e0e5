import test from 'ava';
import {createRandom} from '../../random/random.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import type {Rank} from '../messages/rank.js';
import {createAdmission} from './admission.js';
import type {Ticket} from './admission.js';

const longWork = 600;
const nestedWork = 50;

/** Three slots, of which calls hold one for as long as their work takes. */
function setUp() {
  const clock = createFakeTimers();
  const admission = createAdmission({slots: 3, queueLength: 20, clock});
  const random = createRandom(1);
  const running = new Map<Rank, number>();

  function offer(rank: Rank, kind: string, work: number) {
    const offeredAt = clock.now();
    return new Promise<number>(resolve => {
      const ticket: Ticket = {
        rank,
        kind,
        deadline: offeredAt + 10_000,
        start: () => {
          running.set(rank, (running.get(rank) ?? 0) + 1);
          resolve(clock.now() - offeredAt);
          clock.after(work, () => {
            running.set(rank, running.get(rank)! - 1);
            admission.done(work, kind, true, rank);
          });
        },
        refuse: ({code}) => resolve(Promise.reject(new Error(code.name))),
      };
      admission.offer(ticket);
    });
  }

  /** Keeps new calls waiting, whose work differs. */
  function flood(): void {
    const work = longWork * (0.5 + random.fraction());
    void offer('normal', 'booking', work).then(flood);
  }

  return {clock, admission, running, offer, flood};
}

// A nested call would wait until one of the long calls ends.
test('long new calls leave slots to the nested calls before them', async t => {
  const {clock, offer, flood} = setUp();
  for (let count = 0; count < 6; count++) flood();
  const waits: Array<Promise<number>> = [];
  for (let count = 0; count < 300; count++) {
    await clock.advanceAsync(nestedWork + 30);
    waits.push(offer('nested-normal', 'check', nestedWork));
  }
  await clock.advanceAsync(longWork);
  const late = (await Promise.all(waits)).slice(40);
  const mean = late.reduce((sum, wait) => sum + wait, 0) / late.length;
  t.true(mean < nestedWork / 5, `${mean} ms`);
});

test('without nested calls, new calls use all slots', async t => {
  const {clock, running, offer, flood} = setUp();
  for (let count = 0; count < 20; count++) {
    void offer('nested-normal', 'check', nestedWork);
    await clock.advanceAsync(nestedWork);
  }
  for (let count = 0; count < 6; count++) flood();
  await clock.advanceAsync(10_000);
  t.is(running.get('normal'), 3);
});

test('nested calls of a lower priority keep no slots from new ones', async t => {
  const {clock, running, offer} = setUp();
  for (let count = 0; count < 60; count++) {
    void offer('nested-normal', 'check', nestedWork);
    void offer('nested-normal', 'check', nestedWork);
    await clock.advanceAsync(nestedWork);
  }
  for (let count = 0; count < 4; count++) {
    void offer('critical', 'booking', longWork);
  }
  await clock.advanceAsync(2 * nestedWork);
  t.is(running.get('critical'), 3);
});

import test from 'ava';
import {createFakeTimers} from './fakes/fake-timers.js';
import {before, currentMoment, earlier, elapsedSince} from './moment.js';

test('the clock that counts more time decides, whichever way the other is set', t => {
  const timers = createFakeTimers(1000);
  const start = currentMoment(timers);
  timers.advance(10);
  t.is(elapsedSince(start, timers), 10);
  timers.setWall(-5000);
  t.is(elapsedSince(start, timers), 10);
  timers.setWall(5000);
  timers.suspend(300);
  t.is(elapsedSince(start, timers), 310);
});

test('of two moments the earlier one is taken by each clock', t => {
  const first = {steady: 1, wall: 9};
  t.deepEqual(earlier(first, {steady: 5, wall: 2}), {steady: 1, wall: 2});
  t.is(earlier(first, undefined), first);
  t.is(earlier(undefined, first), undefined);
  t.deepEqual(before(first, 1), {steady: 0, wall: 8});
});

import test from 'ava';
import {createFakeTimers} from './fakes/fake-timers.js';
import {before, currentMoment, elapsedSince} from './moment.js';

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

test('a moment before another is earlier by both clocks', t => {
  t.deepEqual(before({steady: 1, wall: 9}, 1), {steady: 0, wall: 8});
});

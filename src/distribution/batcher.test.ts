import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createBatcher} from './batcher.js';

function setUp(window: number) {
  const timers = createFakeTimers();
  const pushes: number[] = [];
  const batcher = createBatcher(window, timers, () => {
    pushes.push(timers.now());
  });
  return {timers, pushes, batcher};
}

test('the first change after a quiet period is pushed at once', t => {
  const {timers, pushes, batcher} = setUp(1000);
  batcher.notify();
  t.deepEqual(pushes, [0]);
  timers.advance(1500);
  batcher.notify();
  t.deepEqual(pushes, [0, 1500]);
});

test('changes within the window are pushed together at its end', t => {
  const {timers, pushes, batcher} = setUp(1000);
  for (let change = 0; change < 25; change++) {
    batcher.notify();
    timers.advance(100);
  }
  t.deepEqual(pushes, [0, 1000, 2000]);
  timers.advance(1000);
  t.deepEqual(pushes, [0, 1000, 2000, 3000]);
});

test('the time of the oldest waiting change is available', t => {
  const {timers, batcher} = setUp(1000);
  batcher.notify();
  t.is(batcher.waitingSince(), undefined);
  timers.advance(300);
  batcher.notify();
  timers.advance(300);
  batcher.notify();
  t.is(batcher.waitingSince(), 300);
  timers.advance(400);
  t.is(batcher.waitingSince(), undefined);
});

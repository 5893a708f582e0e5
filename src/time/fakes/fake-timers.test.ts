import test from 'ava';
import {createFakeTimers} from './fake-timers.js';

test('tasks run in the order in which they are due', t => {
  const timers = createFakeTimers();
  const ran: string[] = [];
  timers.after(20, () => ran.push('late'));
  timers.after(10, () => ran.push('early'));
  timers.every(15, () => ran.push('tick'));
  timers.advance(30);
  t.deepEqual(ran, ['early', 'tick', 'late', 'tick']);
});

test('a cancelled task does not run', t => {
  const timers = createFakeTimers();
  timers.after(10, () => t.fail()).cancel();
  timers.advance(20);
  t.is(timers.now(), 20);
});

import test from 'ava';
import {delayUntil} from './deadline.js';

test('a deadline far off waits as long as a timer can, a past one not at all', t => {
  t.is(delayUntil(250, 100), 150);
  t.is(delayUntil(100, 250), 0);
  t.is(delayUntil(Infinity, 0), 2 ** 31 - 1);
});

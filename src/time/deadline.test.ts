import test from 'ava';
import {delayUntil} from './deadline.js';

test('the delay until a deadline is limited to the range of a timer', t => {
  t.is(delayUntil(250, 100), 150);
  t.is(delayUntil(100, 250), 0);
  t.is(delayUntil(Infinity, 0), 2 ** 31 - 1);
});

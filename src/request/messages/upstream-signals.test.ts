import test from 'ava';
import {parseLeaving, parseLimit, parseLoad} from './upstream-signals.js';

test('a limit is a decimal number of requests per second', t => {
  t.is(parseLimit([]), 'none');
  t.is(parseLimit(['17.3']), 17.3);
  t.is(parseLimit([' 30 ']), 30);
  t.is(parseLimit(['0']), 0);
  t.is(parseLimit(['.5']), 0.5);
  t.is(parseLimit(['20', '20']), 20);
});

test('a value that is not a decimal number is no limit', t => {
  // `Number` would take most of them, and a limit of NaN admits nothing.
  const values = ['', 'abc', '-5', '+5', 'NaN', 'Infinity', '1e999', '1e3'];
  for (const value of [...values, '0x10', '17,3', '5 6', '9'.repeat(400)]) {
    t.is(parseLimit([value]), 'malformed', value);
  }
  t.is(parseLimit(['5', '50']), 'malformed');
});

test('only 1 reports a shutdown', t => {
  t.is(parseLeaving([]), 'no');
  t.is(parseLeaving(['1']), 'yes');
  t.is(parseLeaving(['0', '1']), 'yes');
  t.is(parseLeaving(['0']), 'no');
  for (const value of ['', 'true', '-1', '11']) {
    t.is(parseLeaving([value]), 'malformed', value);
  }
});

test('a load has three counts and optionally a duration in percent', t => {
  const load = {running: 3, waiting: 0, slots: 6};
  t.is(parseLoad([]), undefined);
  t.deepEqual(parseLoad(['3,0,6']), load);
  t.deepEqual(parseLoad([' 3, 0, 6 ', '3, 0, 6']), load);
  t.deepEqual(parseLoad(['3,0,6,150']), {...load, pace: 1.5});
  t.deepEqual(parseLoad(['3,0,6,87.5']), {...load, pace: 0.875});
});

// No slots would close the gate for good, since only an answer reports others.
test('a load with missing, negative or unusable values is ignored', t => {
  const values = ['', '3', '3,0', '3,0,', '-1,0,6', '3,0,0', '3,0,6,0'];
  for (const value of [...values, '3,0,6,x', '3,0,6,1e3', '3,0,6,1,1', 'NaN']) {
    t.is(parseLoad([value]), 'malformed', value);
  }
  t.is(parseLoad(['3,0,6', '3,0,7']), 'malformed');
});

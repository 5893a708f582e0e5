import test from 'ava';
import {createKindDurations} from './durations.js';

test('a kind is judged by its own work, all work by every kind', t => {
  const durations = createKindDurations();
  for (let count = 0; count < 200; count++) {
    durations.add(100, 'upload');
    durations.add(10, 'check');
  }
  t.is(Math.round(durations.of('check').mean()), 10);
  t.is(Math.round(durations.of('upload').mean()), 100);
  t.true(durations.mean() > 40 && durations.mean() < 70);
});

test('work of a kind beyond the limit counts once, as work of no kind does', t => {
  const durations = createKindDurations();
  for (let count = 0; count < 64; count++) durations.add(10, `kind ${count}`);
  durations.add(110, 'one more');
  t.is(durations.mean(), 15);
  durations.doubt('one more');
  t.is(durations.mean(), 13.5);
});

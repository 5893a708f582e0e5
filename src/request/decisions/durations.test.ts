import test from 'ava';
import {createRandom} from '../../random/random.js';
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
  durations.lower('one more');
  t.is(durations.mean(), 13.5);
});

test('what three in four take is above the mean where some take long', t => {
  const durations = createKindDurations();
  const random = createRandom(5);
  for (let count = 0; count < 4_000; count++) {
    durations.add(100 * random.fraction() * 2, 'lookup');
  }
  const {mean, upperQuartile: mostly} = durations.of('lookup');
  t.true(mean() > 85 && mean() < 115, String(mean()));
  t.true(mostly() > 130 && mostly() < 170, String(mostly()));
});

import test from 'ava';
import {createRandom} from '../../random/random.js';
import {createKindDurations} from './durations.js';

test('a kind has separate estimates, and all kinds count in the overall mean', t => {
  const durations = createKindDurations();
  for (let count = 0; count < 200; count++) {
    durations.add(100, 'upload');
    durations.add(10, 'check');
  }
  t.is(Math.round(durations.of('check').mean()), 10);
  t.is(Math.round(durations.of('upload').mean()), 100);
  t.true(durations.mean() > 40 && durations.mean() < 70);
});

test('a call of a kind beyond the limit counts once, like a call without a kind', t => {
  const durations = createKindDurations();
  for (let count = 0; count < 64; count++) durations.add(10, `kind ${count}`);
  durations.add(110, 'one more');
  t.is(durations.mean(), 15);
  durations.lower('one more');
  t.is(durations.mean(), 13.5);
});

test('the upper quartile is above the mean if durations vary', t => {
  const durations = createKindDurations();
  const random = createRandom(5);
  for (let count = 0; count < 4_000; count++) {
    durations.add(100 * random.fraction() * 2, 'lookup');
  }
  const {mean, upperQuartile} = durations.of('lookup');
  t.true(mean() > 85 && mean() < 115, String(mean()));
  t.true(
    upperQuartile() > 130 && upperQuartile() < 170,
    String(upperQuartile()),
  );
});

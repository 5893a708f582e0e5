import test from 'ava';
import {createFakeTimers} from './fakes/fake-timers.js';
import {createSilenceWatch} from './silence-watch.js';

test('silence beyond the limit is noticed', t => {
  const timers = createFakeTimers();
  const watch = createSilenceWatch(timers, 1000, 3000);
  const hearings: string[] = [];
  timers.every(1000, () => hearings.push(watch.check()));
  timers.advance(1500);
  watch.recordActivity();
  timers.advance(4000);
  t.deepEqual(hearings, ['heard', 'heard', 'heard', 'heard', 'silent']);
});

// A VM stands still for ten seconds. When it wakes its timers run before it has
// read what came meanwhile, so everyone would seem to have been silent.
test('a pause of the watching process is not silence of the others', t => {
  const timers = createFakeTimers();
  const watch = createSilenceWatch(timers, 1000, 3000);
  timers.advance(1000);
  t.is(watch.check(), 'heard');
  timers.advance(10_000);
  t.is(watch.check(), 'paused');
  timers.advance(1000);
  t.is(watch.check(), 'heard');
  for (let look = 0; look < 2; look++) {
    timers.advance(1000);
    t.is(watch.check(), 'heard');
  }
  timers.advance(1000);
  t.is(watch.check(), 'silent');
});

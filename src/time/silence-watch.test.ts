import test from 'ava';
import {createFakeTimers} from './fakes/fake-timers.js';
import {createSilenceWatch} from './silence-watch.js';

test('silence beyond the limit is detected', t => {
  const timers = createFakeTimers();
  const watch = createSilenceWatch(timers, 1000, 3000);
  const results: string[] = [];
  timers.every(1000, () => results.push(watch.check()));
  timers.advance(1500);
  watch.recordActivity();
  timers.advance(4000);
  t.deepEqual(results, ['active', 'active', 'active', 'active', 'silent']);
});

// A VM is paused for ten seconds. When it resumes, its timers run before it has read
// the messages that arrived meanwhile, so all peers would appear to be silent.
test('a pause of the watching process does not count as silence of its peers', t => {
  const timers = createFakeTimers();
  const watch = createSilenceWatch(timers, 1000, 3000);
  timers.advance(1000);
  t.is(watch.check(), 'active');
  timers.advance(10_000);
  t.is(watch.check(), 'paused');
  timers.advance(1000);
  t.is(watch.check(), 'active');
  for (let count = 0; count < 2; count++) {
    timers.advance(1000);
    t.is(watch.check(), 'active');
  }
  timers.advance(1000);
  t.is(watch.check(), 'silent');
});

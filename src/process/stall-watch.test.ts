import test from 'ava';
import {createFreezableTimers} from '../consensus/fakes/freezable.js';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {watchStalls} from './stall-watch.js';

test('a stall of the event loop is logged with its duration, a short delay is not', t => {
  const fake = createFakeTimers();
  const timers = createFreezableTimers(fake);
  const {log, lines} = createRecordedLog();
  const stalls: number[] = [];
  const metrics = {stalled: (late: number) => void stalls.push(late)};
  const watch = watchStalls({timers, log, metrics});
  fake.advance(1000);
  t.deepEqual(lines, []);
  timers.freeze();
  fake.advance(700);
  timers.thaw();
  fake.advance(100);
  t.is(lines.length, 1);
  t.is(lines[0]!.message, 'loop stalled');
  t.is(lines[0]!.fields['duration'], Math.round(stalls[0]!));
  t.true(stalls[0]! >= 500 && stalls[0]! <= 700);
  watch.cancel();
});

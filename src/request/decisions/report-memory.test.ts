import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createReportMemory} from './report-memory.js';

test('what an instance reports is replaced, removed, and forgotten after a time', t => {
  const timers = createFakeTimers();
  const memory = createReportMemory(timers);
  memory.set('a', {process: 'a 1', limit: 5});
  memory.set('a', {process: 'a 2', limit: 7});
  t.deepEqual(memory.get('a'), {process: 'a 2', limit: 7});
  memory.set('a', undefined);
  t.is(memory.get('a'), undefined);
  memory.set('b', {process: 'b 1', leaving: true});
  timers.advance(600_001);
  t.is(memory.get('b'), undefined);
});

test('an old share fades', t => {
  // An instance that is hardly chosen cannot report that its limit has ended.
  const timers = createFakeTimers();
  const memory = createReportMemory(timers);
  t.is(memory.share('a'), 1);
  memory.set('a', {process: 'a 1', limit: 5, share: 0.1});
  t.true(Math.abs(memory.share('a') - 0.1) < 1e-9);
  timers.advance(10_000);
  t.true(memory.share('a') > 0.6);
  timers.advance(50_000);
  t.true(memory.share('a') > 0.99);
});

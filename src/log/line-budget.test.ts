import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createLineBudget} from './line-budget.js';
import {createRecordedLog} from './fakes/recorded-log.js';

test('lines beyond the rate are omitted, in groups that belong together', t => {
  const timers = createFakeTimers();
  const {log} = createRecordedLog();
  const budget = createLineBudget({rate: 10, burst: 4, timers, log});
  t.true(budget.take(3));
  t.false(budget.take(2));
  t.true(budget.take(1));
  timers.advance(200);
  t.true(budget.take(2));
  t.false(budget.take(1));
  timers.advance(60_000);
  t.true(budget.take(4));
  t.false(budget.take(1));
});

test('the number of omitted lines is logged once a second', t => {
  const timers = createFakeTimers();
  const {log, lines} = createRecordedLog();
  const budget = createLineBudget({rate: 1, burst: 1, timers, log});
  budget.take(1);
  for (let count = 0; count < 50; count++) budget.take(4);
  t.is(lines.length, 0);
  timers.advance(1_000);
  t.deepEqual(lines, [
    {
      level: 'warn',
      message: 'log lines left out',
      fields: {reason: 'rate', count: 200},
    },
  ]);
  timers.advance(60_000);
  t.is(lines.length, 1);
});

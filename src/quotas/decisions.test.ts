import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createBucket} from './bucket.js';
import {budgetOf} from './budget.js';
import type {QuotaBounds} from './budget.js';
import {divide} from './division.js';
import {createTestProcess} from './fakes/test-process.js';
import {createLeaseClock} from './lease-clock.js';
import {quotaPeriods} from './periods.js';
import {parseAsk, parseHomeMessage, parsePeerMessage} from './schema.js';

const strict = {window: 5_000, overage: 0, slack: 0};
const usual = {window: 5_000, overage: 0.1, slack: 20};

/** What may be granted in a window by the formula of the note. */
function granted(
  {rate, capacity, reserve}: ReturnType<typeof budgetOf>,
  {window}: QuotaBounds,
): number {
  const generations = 2 + Math.ceil(window / quotaPeriods.lease);
  const accrued = rate * (window + quotaPeriods.askTimeout);
  return accrued + capacity + generations * reserve;
}

for (const bounds of [strict, usual]) {
  for (const quota of [
    {rate: 2.4, burst: 2.4},
    {rate: 442, burst: 280},
    {rate: 1, burst: 0},
    {rate: 0, burst: 5},
    {rate: 0.01, burst: 0},
  ]) {
    const title = `${quota.rate}/${quota.burst}, slack ${bounds.slack}`;
    test(`a budget keeps the bound of a window: ${title}`, t => {
      const bound =
        (quota.rate * 5 + quota.burst) * (1 + bounds.overage) + bounds.slack;
      t.true(granted(budgetOf(quota, bounds), bounds) <= bound + 1e-9);
    });
  }
}

test('a budget with slack has the whole rate', t => {
  const {rate, capacity} = budgetOf({rate: 442, burst: 280}, usual);
  t.is(rate, 0.442);
  t.true(capacity >= 280);
});

test('a small burst is raised so that a home can issue a credit', t => {
  t.true(budgetOf({rate: 2.4, burst: 0.1}, strict).capacity >= 1);
});

test('credits that nodes hold count against the capacity', t => {
  const timers = createFakeTimers();
  const bucket = createBucket(timers);
  bucket.configure(0.01, 4);
  timers.advance(1_000);
  t.is(bucket.available(), 4);
  bucket.hold(3);
  timers.advance(1_000);
  t.is(bucket.available(), 1);
  bucket.spend(2);
  timers.advance(1_000);
  t.is(bucket.available(), 3);
});

test('a bucket starts empty, and a lowered capacity discards credits', t => {
  const timers = createFakeTimers();
  const bucket = createBucket(timers);
  timers.advance(1_000);
  bucket.configure(0.01, 4);
  t.is(bucket.available(), 0);
  timers.advance(1_000);
  bucket.configure(0.01, 2);
  t.is(bucket.available(), 2);
});

test('credits put back do not exceed the capacity', t => {
  const bucket = createBucket(createFakeTimers());
  bucket.configure(0, 2);
  bucket.putBack(5);
  t.is(bucket.available(), 2);
});

test('a bucket says when the next credit is there', t => {
  const timers = createFakeTimers();
  const bucket = createBucket(timers);
  t.is(bucket.nextIn(), Infinity);
  bucket.configure(0.002, 4);
  timers.advance(100);
  t.true(Math.abs(bucket.nextIn() - 400) < 1e-6);
});

test('a division follows the demand and sums up to one', t => {
  for (const capacity of [100, 13.1, 2.4, 1]) {
    const fractions = divide([90, 10, 0, 0], capacity);
    const rates = fractions.map(({rate}) => rate);
    const capacities = fractions.map(each => each.capacity);
    for (const list of [rates, capacities]) {
      const sum = list.reduce((left, right) => left + right, 0);
      t.true(Math.abs(sum - 1) < 1e-9);
    }
    t.true(rates[0]! > 0.85 && rates[1]! > 0.09);
    t.true(capacities.every(each => each === 0 || each * capacity > 0.999));
  }
});

test('the lease clock advances while a VM is suspended', t => {
  const timers = createFakeTimers();
  const process = createTestProcess('node-1', timers);
  const clock = createLeaseClock(process.timers);
  const start = clock.now();
  process.suspend();
  timers.advance(3_000);
  process.resume();
  t.is(process.timers.now(), 0);
  t.is(clock.now() - start, 3_000);
});

// Guards against credits that another process makes up by malformed messages.
test('malformed messages are refused', t => {
  const entry = {
    workspace: 'millers',
    waiting: 1,
    spent: 0,
    unused: 0,
    returned: 0,
    missed: 0,
    wanted: 0,
  };
  const ask = {kind: 'ask', sequence: 1, entries: [entry]};
  t.truthy(parseAsk(ask));
  for (const wrong of [-1, 0.5, NaN, Infinity, '1', null]) {
    t.is(parseAsk({...ask, entries: [{...entry, returned: wrong}]}), undefined);
  }
  t.is(parseAsk(undefined), undefined);
  const credits = {workspace: 'millers', granted: 1, ahead: 0, refused: 0};
  const message = {kind: 'credits', sequence: 1, entries: [credits]};
  t.truthy(parseHomeMessage(message));
  const negative = {...message, entries: [{...credits, ahead: -1}]};
  t.is(parseHomeMessage(negative), undefined);
  t.is(parseHomeMessage({kind: 'other'}), undefined);
  t.truthy(parsePeerMessage({kind: 'lend', number: 1, count: 0}));
  t.is(parsePeerMessage({kind: 'lend', number: 1, count: -3}), undefined);
});

import test from 'ava';
import {computeBurn} from './burn.js';
import type {Count, Samples} from './samples.js';

const minute = 60_000;
const hour = 60 * minute;
const day = 24 * hour;
const period = 30 * day;

const target = {policy: 'gate-checks', target: 0.999, latency: 50};

function counts(good: number, failed: number, slow = 0): Count[] {
  const base = {service: 'drillvault', policy: 'gate-checks'};
  const all: Count[] = [
    {...base, code: 1000, verdict: 'good', count: good},
    {...base, code: 5003, verdict: 'failed', count: failed},
    {...base, code: 1000, verdict: 'slow', count: slow},
  ];
  return all.filter(count => count.count > 0);
}

/** Intervals of five minutes that end now; the last ones have faults. */
function samples(length: number, faulty: number, share: number): Samples {
  const step = 5 * minute;
  const intervals = [];
  for (let from = 0; from < length; from += step) {
    const bad = from >= length - faulty ? 1000 * share : 0;
    intervals.push({from, to: from + step, counts: counts(1000 - bad, bad)});
  }
  return {scrapes: [], time: length, intervals};
}

function report(given: Samples) {
  return computeBurn(given, [target], period).services[0]!;
}

test('a rate of 1 spends the budget exactly over the period', t => {
  const burn = report(samples(period, period, 0.001));
  t.true(Math.abs(burn.budgetLeft) < 1e-9);
  for (const window of burn.windows) {
    t.true(Math.abs(window.rate - 1) < 1e-9, window.name);
    t.is(window.covered, window.length);
  }
});

test('a short, hard fault pages fast and no alert is left an hour after it', t => {
  // 5% over an hour burns at 50, over six hours at 8.3, over three days at 0.7.
  const during = report(samples(3 * day, hour, 0.05));
  t.deepEqual(during.alerts, ['page-fast', 'page-slow']);
  const quiet = samples(3 * day, 0, 0);
  const after = {
    ...quiet,
    intervals: quiet.intervals.map(interval =>
      interval.to > 3 * day - 2 * hour && interval.to <= 3 * day - hour
        ? {...interval, counts: counts(950, 50)}
        : interval,
    ),
  };
  const later = report(after).alerts;
  t.false(later.includes('page-fast'));
  t.false(later.includes('page-slow'));
});

test('one faulty interval in a quiet hour pages nobody', t => {
  // 5 minutes of 1% failures: the short window burns at 10, the hour at 0.8.
  t.deepEqual(report(samples(3 * day, 5 * minute, 0.01)).alerts, []);
});

test('a slow burn opens a ticket without a page', t => {
  t.deepEqual(report(samples(3 * day, 3 * day, 0.002)).alerts, ['ticket']);
});

test('what spent the budget is listed by code and verdict, most first', t => {
  const given = {
    scrapes: [],
    time: hour,
    intervals: [{from: 0, to: hour, counts: counts(900, 75, 25)}],
  };
  t.deepEqual(report(given).spending, [
    {code: 5003, verdict: 'failed', count: 75, share: 0.75},
    {code: 1000, verdict: 'slow', count: 25, share: 0.25},
  ]);
});

test('a window is judged only by samples at least as fine as itself', t => {
  // The command ran once an hour: nothing is known of the last five minutes,
  // so the fast page can't fire, and the report shows that it has no samples.
  const intervals = [{from: 0, to: hour, counts: counts(0, 1000)}];
  const burn = report({scrapes: [], time: hour, intervals});
  const short = burn.windows.find(window => window.name === '5m')!;
  t.is(short.covered, 0);
  t.is(short.answers, 0);
  t.false(burn.alerts.includes('page-fast'));
});

test('answers without an objective are named, not judged', t => {
  const given = samples(hour, 0, 0);
  const {services, unjudged} = computeBurn(given, [], period);
  t.deepEqual(services, []);
  t.is(unjudged[0]!.service, 'drillvault');
  t.is(unjudged[0]!.answers, 12_000);
});

test('no answers at all give an empty report', t => {
  const empty = {scrapes: [], time: hour, intervals: []};
  t.deepEqual(computeBurn(empty, [target], period).services, []);
});

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

/**
 * Intervals of five minutes up to now; those within `faulty` have bad answers.
 */
function samples(length: number, faulty: number, share: number): Samples {
  const step = 5 * minute;
  const intervals = [];
  for (let from = 0; from < length; from += step) {
    const bad = from >= length - faulty ? 1000 * share : 0;
    intervals.push({from, to: from + step, counts: counts(1000 - bad, bad)});
  }
  return {scrapes: [], time: length, intervals};
}

function report(input: Samples) {
  return computeBurn(input, [target], period).services[0]!;
}

test('at a burn rate of 1 the budget lasts exactly for the period', t => {
  const burn = report(samples(period, period, 0.001));
  t.true(Math.abs(burn.budgetLeft) < 1e-9);
  for (const window of burn.windows) {
    t.true(Math.abs(window.rate - 1) < 1e-9, window.name);
    t.is(window.covered, window.length);
  }
});

test('a short, severe fault pages fast and raises no page an hour after its end', t => {
  // 5% over an hour burns at 50, over six hours at 8.3, over three days at 0.7.
  const duringFault = report(samples(3 * day, hour, 0.05));
  t.deepEqual(duringFault.alerts, ['page-fast', 'page-slow']);
  const faultless = samples(3 * day, 0, 0);
  const afterFault = {
    ...faultless,
    intervals: faultless.intervals.map(interval =>
      interval.to > 3 * day - 2 * hour && interval.to <= 3 * day - hour
        ? {...interval, counts: counts(950, 50)}
        : interval,
    ),
  };
  const alerts = report(afterFault).alerts;
  t.false(alerts.includes('page-fast'));
  t.false(alerts.includes('page-slow'));
});

test('one faulty interval in an hour raises no alert', t => {
  // 5 minutes of 1% failures: the short window burns at 10, the hour at 0.8.
  t.deepEqual(report(samples(3 * day, 5 * minute, 0.01)).alerts, []);
});

test('a slow burn raises a ticket without a page', t => {
  t.deepEqual(report(samples(3 * day, 3 * day, 0.002)).alerts, ['ticket']);
});

test('answers that spent the budget are listed by code and verdict, most frequent first', t => {
  const input = {
    scrapes: [],
    time: hour,
    intervals: [{from: 0, to: hour, counts: counts(900, 75, 25)}],
  };
  t.deepEqual(report(input).spending, [
    {code: 5003, verdict: 'failed', count: 75, share: 0.75},
    {code: 1000, verdict: 'slow', count: 25, share: 0.25},
  ]);
});

test('a window uses only intervals that are not longer than itself', t => {
  // The command ran once an hour, so no interval is short enough for the window
  // of five minutes. The fast page must not fire, and the report must show that
  // the window has no samples.
  const intervals = [{from: 0, to: hour, counts: counts(0, 1000)}];
  const burn = report({scrapes: [], time: hour, intervals});
  const short = burn.windows.find(window => window.name === '5m')!;
  t.is(short.covered, 0);
  t.is(short.answers, 0);
  t.false(burn.alerts.includes('page-fast'));
});

test('answers without an objective are listed without a burn rate', t => {
  const input = samples(hour, 0, 0);
  const {services, unjudged} = computeBurn(input, [], period);
  t.deepEqual(services, []);
  t.is(unjudged[0]!.service, 'drillvault');
  t.is(unjudged[0]!.answers, 12_000);
});

test('without answers the report is empty', t => {
  const empty = {scrapes: [], time: hour, intervals: []};
  t.deepEqual(computeBurn(empty, [target], period).services, []);
});

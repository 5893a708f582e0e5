import {mergeCounts} from './samples.js';
import type {Count, Interval, Samples} from './samples.js';

/** Error budget burn rates by the multi-window, multi-burn-rate method. */

/** The service-level objective of one policy. */
export interface Target {
  readonly policy: string;
  /** Share of answers, 0 to 1, that must be good. */
  readonly target: number;
  /** Milliseconds; an answer that takes longer is not good. */
  readonly latency: number;
}

/** Burn of the error budget over one window. */
export interface WindowBurn {
  readonly name: string;
  /** Milliseconds. */
  readonly length: number;
  /** Milliseconds of the window for which there are samples. */
  readonly covered: number;
  readonly answers: number;
  readonly spent: number;
  /** Burn rate; at 1 the budget lasts exactly for the period. */
  readonly rate: number;
}

/** Names of alerts, the most urgent first. */
export type AlertName = 'page-fast' | 'page-slow' | 'ticket';

/** Answers that consumed budget, grouped by result code and verdict. */
export interface Spending {
  readonly code: number;
  readonly verdict: 'slow' | 'failed';
  readonly count: number;
  /** Share of all answers that consumed budget, 0 to 1. */
  readonly share: number;
}

/** Budget and burn rates of one service under one policy's objective. */
export interface ServiceBurn {
  readonly service: string;
  readonly policy: string;
  readonly target: number;
  readonly latency: number;
  readonly answers: number;
  readonly spent: number;
  /** Remaining share of the period's budget; negative when overspent. */
  readonly budgetLeft: number;
  readonly windows: readonly WindowBurn[];
  readonly alerts: readonly AlertName[];
  readonly spending: readonly Spending[];
  /** Burn rate of each interval, for plots. */
  readonly history: ReadonlyArray<{
    readonly time: number;
    readonly rate: number;
  }>;
}

/** Answers without a known objective, for which no budget is computed. */
export interface Unjudged {
  readonly service: string;
  readonly policy: string;
  readonly answers: number;
}

/** The whole report. */
export interface BurnReport {
  /** When the last scrape was, in milliseconds since the epoch. */
  readonly time: number;
  /** Length of the budget period in milliseconds. */
  readonly period: number;
  /** Milliseconds of the period for which there are samples. */
  readonly covered: number;
  readonly services: readonly ServiceBurn[];
  readonly unjudged: readonly Unjudged[];
  /** Admin addresses of nodes that did not answer the last scrape. */
  readonly unreached: readonly string[];
}

/** Windows as shares of the period; the names are the lengths for 30 days. */
export const windows = [
  {name: '5m', share: 1 / 8640},
  {name: '30m', share: 1 / 1440},
  {name: '1h', share: 1 / 720},
  {name: '6h', share: 1 / 120},
  {name: '3d', share: 1 / 10},
] as const;

type WindowName = (typeof windows)[number]['name'];

/** An alert fires when both windows burn at `rate` or faster. */
interface Rule {
  readonly name: AlertName;
  readonly long: WindowName;
  readonly short: WindowName;
  readonly rate: number;
}

/**
 * The long window shows that a large part of the budget is spent, the short one
 * that the burn continues, so that an alert ends soon after its cause. The
 * rates spend 2%, 5% and 10% of the period's budget within the long window.
 */
export const alertRules: readonly Rule[] = [
  {name: 'page-fast', long: '1h', short: '5m', rate: 14.4},
  {name: 'page-slow', long: '6h', short: '30m', rate: 6},
  {name: 'ticket', long: '3d', short: '6h', rate: 1},
];

/** Computes the report on `samples` for `targets`. */
export function computeBurn(
  samples: Samples,
  targets: readonly Target[],
  period: number,
  unreached: readonly string[] = [],
): BurnReport {
  const inPeriod = samples.intervals.filter(
    interval => interval.to > samples.time - period,
  );
  const totals = mergeCounts(inPeriod.flatMap(interval => interval.counts));
  const services: ServiceBurn[] = [];
  const unjudged: Unjudged[] = [];
  for (const {service, policy} of listPairs(totals)) {
    const target = targets.find(target => target.policy === policy);
    const selected = selectCounts(inPeriod, service, policy);
    if (target === undefined) {
      unjudged.push({service, policy, answers: sum(countsOf(selected))});
    } else {
      services.push(
        computeServiceBurn(service, target, selected, samples.time, period),
      );
    }
  }
  services.sort((left, right) => left.budgetLeft - right.budgetLeft);
  const covered = coverage(inPeriod, samples.time, period);
  return {time: samples.time, period, covered, services, unjudged, unreached};
}

function listPairs(counts: readonly Count[]) {
  const pairs = new Map<string, {service: string; policy: string}>();
  for (const {service, policy} of counts) {
    pairs.set(`${service} ${policy}`, {service, policy});
  }
  return [...pairs.values()];
}

function selectCounts(
  intervals: readonly Interval[],
  service: string,
  policy: string,
): Interval[] {
  return intervals.map(interval => ({
    ...interval,
    counts: interval.counts.filter(
      count => count.service === service && count.policy === policy,
    ),
  }));
}

function computeServiceBurn(
  service: string,
  target: Target,
  intervals: readonly Interval[],
  now: number,
  period: number,
): ServiceBurn {
  const counts = countsOf(intervals);
  const bad = counts.filter(hasSpentBudget);
  const windowBurns = windows.map(window =>
    measureWindow(window.name, window.share * period, intervals, now, target),
  );
  return {
    service,
    ...target,
    answers: sum(counts),
    spent: sum(bad),
    budgetLeft: 1 - burnRate(sum(bad), sum(counts), target.target),
    windows: windowBurns,
    alerts: alertRules
      .filter(rule => isFiring(rule, windowBurns))
      .map(rule => rule.name),
    spending: listSpending(bad),
    history: intervals.map(interval => ({
      time: interval.to,
      rate: rateOf(interval.counts, target),
    })),
  };
}

/** Ignores intervals longer than the window: they are too coarse for it. */
function measureWindow(
  name: string,
  length: number,
  intervals: readonly Interval[],
  now: number,
  target: Target,
): WindowBurn {
  const inWindow = intervals.filter(
    ({from, to}) => to > now - length && to - from <= length,
  );
  const counts = countsOf(inWindow);
  return {
    name,
    length,
    covered: coverage(inWindow, now, length),
    answers: sum(counts),
    spent: sum(counts.filter(hasSpentBudget)),
    rate: rateOf(counts, target),
  };
}

function isFiring(rule: Rule, windowBurns: readonly WindowBurn[]): boolean {
  return [rule.long, rule.short].every(name => {
    const window = windowBurns.find(window => window.name === name);
    return window !== undefined && window.rate >= rule.rate;
  });
}

function listSpending(bad: readonly Count[]): Spending[] {
  const total = sum(bad);
  return mergeCounts(bad)
    .map(count => ({
      code: count.code,
      verdict: count.verdict as Spending['verdict'],
      count: count.count,
      share: count.count / total,
    }))
    .sort((left, right) => right.count - left.count);
}

function rateOf(counts: readonly Count[], target: Target): number {
  return burnRate(
    sum(counts.filter(hasSpentBudget)),
    sum(counts),
    target.target,
  );
}

/** Share of bad answers divided by the share that the objective allows. */
function burnRate(bad: number, answers: number, target: number): number {
  if (bad === 0) return 0;
  return bad / answers / (1 - target);
}

function coverage(
  intervals: readonly Interval[],
  now: number,
  length: number,
): number {
  return intervals
    .map(({from, to}) => Math.max(0, to - Math.max(from, now - length)))
    .reduce((total, part) => total + part, 0);
}

function countsOf(intervals: readonly Interval[]): Count[] {
  return intervals.flatMap(interval => interval.counts);
}

function hasSpentBudget(count: Count): boolean {
  return count.verdict !== 'good';
}

function sum(counts: readonly Count[]): number {
  return counts.reduce((total, count) => total + count.count, 0);
}

/**
 * Tells when the loop of a process stood still. Heartbeats, votes and answers
 * to pings wait behind any long turn of the loop, so a process that works on
 * one thing for too long looks like a dead one to the others, and its own lines
 * only show a gap.
 */
import {createLineBudget} from '../log/line-budget.js';
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Subscription, Timers} from '../time/timers.js';

/** What the watch works with. */
export interface StallWatchOptions {
  readonly timers: Timers;
  readonly log: Log;
  readonly metrics: Pick<Metrics, 'stalled'>;
}

/** Milliseconds between two looks; as often as a leader's heartbeat. */
const lookEvery = 100;

/**
 * Milliseconds of delay that count as a stall: twice the leader's heartbeat,
 * and a third of the silence after which another is elected.
 */
const stallAfter = 200;

// A process under pressure stalls several times a second.
const linesPerSecond = 2;
const linesAtOnce = 20;

/** Watches the loop until cancelled. */
export function watchStalls(options: StallWatchOptions): Subscription {
  const {timers, log, metrics} = options;
  const budget = createLineBudget({
    rate: linesPerSecond,
    burst: linesAtOnce,
    timers,
    log,
  });
  let lookedAt = timers.now();

  return timers.every(lookEvery, () => {
    const now = timers.now();
    const late = now - lookedAt - lookEvery;
    lookedAt = now;
    if (late < stallAfter) return;
    metrics.stalled(late);
    if (budget.take(1)) log.warn('loop stalled', {duration: Math.round(late)});
  });
}

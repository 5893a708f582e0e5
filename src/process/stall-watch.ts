/**
 * Reports stalls of the event loop of a process. A long turn of the loop delays
 * heartbeats, votes and answers to pings, so other processes take a stalled
 * process for a crashed one, and its own log only shows a gap.
 */
import {createLineBudget} from '../log/line-budget.js';
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Subscription, Timers} from '../time/timers.js';

/** Options of `watchStalls`. */
export interface StallWatchOptions {
  readonly timers: Timers;
  readonly log: Log;
  readonly metrics: Pick<Metrics, 'stalled'>;
}

/** Milliseconds between two checks; the leader's `heartbeat` on the platform. */
const checkPeriod = 100;

/**
 * Milliseconds of delay that count as a stall: twice the leader's `heartbeat` and
 * a third of the `electionTimeout` that the platform's settings give.
 */
const stallThreshold = 200;

// An overloaded process may stall several times a second.
const linesPerSecond = 2;
const maxBurst = 20;

/** Watches the event loop until the subscription is cancelled. */
export function watchStalls(options: StallWatchOptions): Subscription {
  const {timers, log, metrics} = options;
  const budget = createLineBudget({
    rate: linesPerSecond,
    burst: maxBurst,
    timers,
    log,
  });
  let checkedAt = timers.now();

  return timers.every(checkPeriod, () => {
    const now = timers.now();
    const delay = now - checkedAt - checkPeriod;
    checkedAt = now;
    if (delay < stallThreshold) return;
    metrics.stalled(delay);
    if (budget.take(1)) log.warn('loop stalled', {duration: Math.round(delay)});
  });
}

/**
 * Rate limit for log lines of one kind. Under overload a process would log a line
 * for each refused request, and all these lines would cost the processor time that
 * further requests need. Lines beyond the limit are omitted, and their number is
 * logged.
 */
import type {Timers} from '../time/timers.js';
import type {Log} from './log.js';

/** Options of `createLineBudget`. */
export interface LineBudgetOptions {
  /** Average number of lines per second. */
  readonly rate: number;
  /** Maximum number of lines at once. */
  readonly burst: number;
  readonly timers: Timers;
  /** Receives the number of omitted lines. */
  readonly log: Log;
}

/** A token bucket for log lines. */
export interface LineBudget {
  /** Takes tokens for `lines` that belong together; false if they must be omitted. */
  take(lines: number): boolean;
}

const millisecondsPerSecond = 1000;

/** Milliseconds for which omitted lines are counted before their number is logged. */
const reportDelay = 1000;

/** Creates a full budget. */
export function createLineBudget(options: LineBudgetOptions): LineBudget {
  const {rate, burst, timers, log} = options;
  let tokens = burst;
  let refilledAt = timers.now();
  let omitted = 0;

  function refill(): void {
    const now = timers.now();
    const added = ((now - refilledAt) / millisecondsPerSecond) * rate;
    tokens = Math.min(burst, tokens + added);
    refilledAt = now;
  }

  function reportOmitted(): void {
    log.warn('log lines left out', {reason: 'rate', count: omitted});
    omitted = 0;
  }

  return {
    take: lines => {
      refill();
      if (tokens >= lines) {
        tokens -= lines;
        return true;
      }
      if (omitted === 0) timers.after(reportDelay, reportOmitted);
      omitted += lines;
      return false;
    },
  };
}

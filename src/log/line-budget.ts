/**
 * How many lines of one kind a process may write. Under overload each refused
 * request is worth a line, and all of them together would cost the processor
 * time that the next requests need; what is left out is counted and told.
 */
import type {Timers} from '../time/timers.js';
import type {Log} from './log.js';

/** Options of `createLineBudget`. */
export interface LineBudgetOptions {
  /** Lines a second in the long run. */
  readonly rate: number;
  /** Lines that may come at once. */
  readonly burst: number;
  readonly timers: Timers;
  /** Hears how much was left out. */
  readonly log: Log;
}

/** A store of lines that fills with time. */
export interface LineBudget {
  /** Takes room for `lines` about one thing; false when they are left out. */
  take(lines: number): boolean;
}

const millisecondsPerSecond = 1000;

/** Milliseconds for which left-out lines are counted before they are told. */
const countingTime = 1000;

/** Creates a budget that is full. */
export function createLineBudget(options: LineBudgetOptions): LineBudget {
  const {rate, burst, timers, log} = options;
  let saved = burst;
  let filledAt = timers.now();
  let leftOut = 0;

  function fill(): void {
    const now = timers.now();
    const earned = ((now - filledAt) / millisecondsPerSecond) * rate;
    saved = Math.min(burst, saved + earned);
    filledAt = now;
  }

  function tell(): void {
    log.warn('log lines left out', {reason: 'rate', count: leftOut});
    leftOut = 0;
  }

  return {
    take: lines => {
      fill();
      if (saved >= lines) {
        saved -= lines;
        return true;
      }
      if (leftOut === 0) timers.after(countingTime, tell);
      leftOut += lines;
      return false;
    },
  };
}

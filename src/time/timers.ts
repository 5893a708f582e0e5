import {performance} from 'node:perf_hooks';
import {Clock} from './clock.js';

/** A subscription to the timer service; cancelling twice is harmless. */
export interface Subscription {
  cancel(): void;
}

/** The timer service: the only way in which a part learns that time passed. */
export abstract class Timers extends Clock {
  /** Calls `task` once, `delay` milliseconds from now. */
  abstract after(delay: number, task: () => void): Subscription;

  /** Calls `task` each `period` milliseconds until cancelled. */
  abstract every(period: number, task: () => void): Subscription;
}

/** Creates the timer service of a process, on the machine's clock. */
export function createTimers(): Timers {
  return new (class extends Timers {
    now(): number {
      return performance.now();
    }

    wall(): number {
      return Date.now();
    }

    after(delay: number, task: () => void): Subscription {
      const handle = setTimeout(task, delay);
      return {cancel: () => clearTimeout(handle)};
    }

    every(period: number, task: () => void): Subscription {
      const handle = setInterval(task, period);
      return {cancel: () => clearInterval(handle)};
    }
  })();
}

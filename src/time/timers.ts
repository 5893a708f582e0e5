import {performance} from 'node:perf_hooks';
import {Clock} from './clock.js';
import {createPeriodicTasks} from './periodic-tasks.js';
import type {Subscription} from './subscription.js';

export type {Subscription} from './subscription.js';

/** The timer service; all code schedules its tasks with it. */
export abstract class Timers extends Clock {
  /** Calls `task` once, `delay` milliseconds from now. */
  abstract after(delay: number, task: () => void): Subscription;

  /**
   * Calls `task` every `period` milliseconds until cancelled, the first time
   * after at most one period. Tasks of a process run at common times.
   */
  abstract every(period: number, task: () => void): Subscription;
}

function after(delay: number, task: () => void): Subscription {
  const handle = setTimeout(task, delay);
  return {cancel: () => clearTimeout(handle)};
}

/** The periodic tasks of the process; there is one, so that all share wake-ups. */
const periodicTasks = createPeriodicTasks({
  now: () => performance.now(),
  after,
});

/** Creates a timer service that uses the clock of the machine. */
export function createTimers(): Timers {
  return new (class extends Timers {
    now(): number {
      return performance.now();
    }

    wall(): number {
      return Date.now();
    }

    after(delay: number, task: () => void): Subscription {
      return after(delay, task);
    }

    every(period: number, task: () => void): Subscription {
      return periodicTasks.every(period, task);
    }
  })();
}

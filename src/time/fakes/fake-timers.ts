import {Timers} from '../timers.js';
import type {Subscription} from '../timers.js';

interface ScheduledTask {
  due: number;
  order: number;
  period: number | undefined;
  task: () => void;
}

/** A timer service whose time the test controls. */
export abstract class FakeTimers extends Timers {
  /** Advances time by `duration` milliseconds and runs the tasks that are due in order. */
  abstract advance(duration: number): void;

  /** Lets the time of day pass, but not the timers, as in a suspended VM. */
  abstract suspend(duration: number): void;

  /** Sets the time of day forward, or back if `duration` is negative. */
  abstract setWall(duration: number): void;

  /** Like `advance`, but lets promises settle after each task. */
  abstract advanceAsync(duration: number): Promise<void>;
}

/** Lets all promises settle that do not depend on the passing of time. */
export async function settle(turns = 10): Promise<void> {
  for (let turn = 0; turn < turns; turn++) {
    await new Promise<void>(resolve => setImmediate(resolve));
  }
}

/** Creates a timer service that starts at `start` milliseconds. */
export function createFakeTimers(start = 0): FakeTimers {
  const entries = new Set<ScheduledTask>();
  let now = start;
  let order = 0;
  let wallAhead = 0;

  function add(delay: number, period: number | undefined, task: () => void) {
    const entry = {due: now + delay, order: order++, period, task};
    entries.add(entry);
    return {cancel: () => void entries.delete(entry)};
  }

  function next(limit: number): ScheduledTask | undefined {
    let first: ScheduledTask | undefined;
    for (const entry of entries) {
      if (entry.due > limit) continue;
      if (first === undefined || isBefore(entry, first)) first = entry;
    }
    return first;
  }

  function run(entry: ScheduledTask): void {
    now = Math.max(now, entry.due);
    if (entry.period === undefined) entries.delete(entry);
    else entry.due += entry.period;
    entry.task();
  }

  return new (class extends FakeTimers {
    now(): number {
      return now;
    }

    wall(): number {
      return now + wallAhead;
    }

    suspend(duration: number): void {
      wallAhead += duration;
    }

    setWall(duration: number): void {
      wallAhead += duration;
    }

    after(delay: number, task: () => void): Subscription {
      return add(delay, undefined, task);
    }

    every(period: number, task: () => void): Subscription {
      return add(period, period, task);
    }

    advance(duration: number): void {
      const limit = now + duration;
      for (let entry = next(limit); entry; entry = next(limit)) run(entry);
      now = limit;
    }

    async advanceAsync(duration: number): Promise<void> {
      const limit = now + duration;
      await settle();
      for (let entry = next(limit); entry; entry = next(limit)) {
        run(entry);
        await settle();
      }
      now = limit;
    }
  })();
}

function isBefore(left: ScheduledTask, right: ScheduledTask): boolean {
  if (left.due !== right.due) return left.due < right.due;
  return left.order < right.order;
}

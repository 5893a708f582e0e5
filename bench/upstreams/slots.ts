import type {Timers} from '../../src/time/timers.js';

/** What happens to work that arrives while all slots are taken. */
export type Overload = 'queue' | 'shed';

/** The slots of one instance; work without a slot is queued or shed. */
export interface Slots {
  /** Resolves with true once a slot is acquired, with false if shed. */
  acquire(): Promise<boolean>;
  /** Releases an acquired slot. */
  release(): void;
  readonly running: number;
  readonly waiting: number;
  /** Largest number of slots that were in use at the same time. */
  readonly maxRunning: number;
}

/** Creates the slots of one instance. */
export function createSlots(limit: number, overload: () => Overload): Slots {
  const queue: Array<() => void> = [];
  let running = 0;
  let maxRunning = 0;

  function start(): void {
    running++;
    maxRunning = Math.max(maxRunning, running);
  }

  return {
    async acquire() {
      if (running < limit) {
        start();
        return true;
      }
      if (overload() === 'shed') return false;
      await new Promise<void>(resolve => queue.push(resolve));
      return true;
    },
    release() {
      running--;
      const next = queue.shift();
      if (next === undefined) return;
      start();
      next();
    },
    get running() {
      return running;
    },
    get waiting() {
      return queue.length;
    },
    get maxRunning() {
      return maxRunning;
    },
  };
}

/** A value whose changes become visible `lag` milliseconds later. */
export interface DelayedValue<T> {
  set(value: T): void;
  get(): T;
}

/** Creates a delayed value; simulates stale health and load endpoints. */
export function createDelayedValue<T>(
  initial: T,
  lag: () => number,
  timers: Timers,
): DelayedValue<T> {
  let visible = initial;
  return {
    set(value) {
      if (lag() === 0) visible = value;
      else timers.after(lag(), () => (visible = value));
    },
    get: () => visible,
  };
}

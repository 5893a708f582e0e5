import type {Timers} from '../../src/time/timers.js';

/** What happens to work that comes when all slots are taken. */
export type Overload = 'queue' | 'shed';

/** The slots of one instance; work waits its turn or is shed. */
export interface Slots {
  /** Resolves with true once a slot is held, with false when shed. */
  acquire(): Promise<boolean>;
  /** Gives a held slot back. */
  release(): void;
  readonly running: number;
  readonly waiting: number;
  /** The most that ever ran at once. */
  readonly maxRunning: number;
}

/** Creates the slots of one instance. */
export function createSlots(limit: number, overload: () => Overload): Slots {
  const queue: Array<() => void> = [];
  let running = 0;
  let greatest = 0;

  function start(): void {
    running++;
    greatest = Math.max(greatest, running);
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
      return greatest;
    },
  };
}

/** A value whose readers see it `lag` milliseconds late. */
export interface DelayedValue<T> {
  set(value: T): void;
  get(): T;
}

/** Creates a value that is seen late, as health and load endpoints are. */
export function createDelayedValue<T>(
  first: T,
  lag: () => number,
  timers: Timers,
): DelayedValue<T> {
  let seen = first;
  return {
    set(value) {
      if (lag() === 0) seen = value;
      else timers.after(lag(), () => (seen = value));
    },
    get: () => seen,
  };
}

import type {Timers} from '../time/timers.js';

/** Measures how long something has been valid. */
export interface LeaseClock {
  /** Milliseconds since an arbitrary start. */
  now(): number;
}

/**
 * Creates a clock that advances by the larger of the advances of the monotonic
 * clock and the wall clock, since the monotonic clock stops while a VM is
 * suspended.
 */
export function createLeaseClock(timers: Timers): LeaseClock {
  let monotonic = timers.now();
  let wall = timers.wall();
  let elapsed = 0;
  return {
    now() {
      const advance = timers.now() - monotonic;
      const wallAdvance = timers.wall() - wall;
      monotonic += advance;
      wall += wallAdvance;
      elapsed += Math.max(0, advance, wallAdvance);
      return elapsed;
    },
  };
}

/** A home's credits of one workspace. */
import type {Clock} from '../time/clock.js';

/** A token bucket whose capacity includes the credits that nodes hold. */
export interface Bucket {
  /** Whole credits that can be issued now. */
  available(): number;
  /** Credits that nodes hold, as far as they have reported. */
  held(): number;
  /** Milliseconds until the next whole credit; infinite if there will be none. */
  nextIn(): number;
  /** Changes rate (credits per millisecond) and capacity; it starts empty. */
  configure(rate: number, capacity: number): void;
  /** Issues credits that are used at once. */
  issue(count: number): void;
  /** Issues credits that a node holds. */
  hold(count: number): void;
  /** Held credits were used or are void. */
  spend(count: number): void;
  /** Credits are returned that are not held any more. */
  putBack(count: number): void;
}

/** Sums of many small fractions may fall just short of a whole credit. */
const roundingError = 1e-6;

/** Creates an empty bucket without rate and capacity. */
export function createBucket(clock: Clock): Bucket {
  let rate = 0;
  let capacity = 0;
  let level = 0;
  let held = 0;
  let accruedAt = clock.now();

  const room = () => Math.max(0, capacity - held - level);

  function accrue(): void {
    const now = clock.now();
    level += Math.min(room(), rate * (now - accruedAt));
    accruedAt = now;
  }

  return {
    available() {
      accrue();
      return Math.floor(level + roundingError);
    },
    held: () => held,
    nextIn() {
      accrue();
      if (level >= 1) return 0;
      return rate > 0 ? (1 - level) / rate : Infinity;
    },
    configure(newRate, newCapacity) {
      accrue();
      rate = newRate;
      capacity = newCapacity;
      level = Math.min(level, Math.max(0, capacity - held));
    },
    issue(count) {
      accrue();
      level -= count;
    },
    hold(count) {
      accrue();
      level -= count;
      held += count;
    },
    spend(count) {
      accrue();
      held -= Math.min(count, held);
    },
    putBack(count) {
      accrue();
      level += Math.min(room(), count);
    },
  };
}

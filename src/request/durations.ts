/** How long an upstream's work takes, learnt from the work it did. */

/** Weight of the newest duration in the mean. */
const newest = 0.05;
/** How much the shortest duration is let grow by each longer one. */
const growth = 1.02;
/** How much a doubt lowers both estimates. */
const doubt = 0.9;

/** Estimates of the durations of one upstream's work, in milliseconds. */
export interface Durations {
  /** The mean of late; 0 before the first. */
  mean(): number;
  /** What work takes at least; 0 before the first. */
  shortest(): number;
  add(duration: number): void;
  /**
   * Lowers both, when work is refused while none runs. Without it one slow phase could make every
   * deadline look unreachable, and no work would run to correct the estimate.
   */
  doubt(): void;
}

/** Creates estimates that know nothing yet. */
export function createDurations(): Durations {
  let mean = 0;
  let shortest = 0;
  let known = false;

  return {
    mean: () => mean,
    shortest: () => shortest,
    add: duration => {
      mean = known ? mean + (duration - mean) * newest : duration;
      shortest = known ? Math.min(duration, shortest * growth) : duration;
      known = true;
    },
    doubt: () => {
      shortest *= doubt;
      mean *= doubt;
    },
  };
}

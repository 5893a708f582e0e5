import type {Clock} from '../../time/clock.js';

/** An exponentially weighted moving average of a rate in bytes per second. */
export interface RateAverage {
  add(bytes: number): void;
  rate(): number;
}

/**
 * Milliseconds after which bytes have a third (1/e) of their initial weight.
 */
const timeConstant = 1000;
const millisecondsPerSecond = 1000;

/** Creates an average of 0. */
export function createRateAverage(clock: Clock): RateAverage {
  let average = 0;
  let updatedAt = clock.now();

  function decay(): void {
    const now = clock.now();
    average *= Math.exp((updatedAt - now) / timeConstant);
    updatedAt = now;
  }

  return {
    add: bytes => {
      decay();
      average += (bytes * millisecondsPerSecond) / timeConstant;
    },
    rate: () => {
      decay();
      return average;
    },
  };
}

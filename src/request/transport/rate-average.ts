import type {Clock} from '../../time/clock.js';

/** Bytes a second of late. */
export interface RateAverage {
  add(bytes: number): void;
  rate(): number;
}

/** Milliseconds after which what came weighs a third of what comes now. */
const span = 1000;
const millisecondsPerSecond = 1000;

/** Creates an average that has seen nothing yet. */
export function createRateAverage(clock: Clock): RateAverage {
  let average = 0;
  let at = clock.now();

  function age(): void {
    const now = clock.now();
    average *= Math.exp((at - now) / span);
    at = now;
  }

  return {
    add: bytes => {
      age();
      average += (bytes * millisecondsPerSecond) / span;
    },
    rate: () => {
      age();
      return average;
    },
  };
}

import type {Clock} from '../time/clock.js';

/** A decaying average of requests per second. */
export interface Demand {
  add(count: number): void;
  /** Requests per second. */
  rate(): number;
}

/** Creates an estimate that follows changes within about `span` milliseconds. */
export function createDemand(clock: Clock, span: number): Demand {
  let sum = 0;
  let decayedAt = clock.now();

  function decay(): void {
    const now = clock.now();
    sum *= Math.exp((decayedAt - now) / span);
    decayedAt = now;
  }

  return {
    add(count) {
      decay();
      sum += count;
    },
    rate() {
      decay();
      return (sum * 1000) / span;
    },
  };
}

/**
 * Measures the delay of the event loop of a process. Received data waits in sockets
 * until the loop reads it, where the process can't observe it. A timer that is due
 * waits for the same turns of the loop, so its delay shows how long.
 */
import type {Subscription, Timers} from './timers.js';

/** The delay of an event loop, in milliseconds. */
export interface LoopDelay {
  /** Estimated delay of data that arrives now; rises at once and decays slowly. */
  current(): number;
  /** Moving average of the delay; a sample that is late has a higher weight. */
  mean(): number;
}

/** Options of `watchLoopDelay`. */
export interface LoopDelayOptions {
  readonly timers: Timers;
  /** Called with the delay of the loop at each sample. */
  readonly onSample?: (late: number) => void;
}

/** Milliseconds between two samples; shorter delays are not relevant. */
const samplePeriod = 20;

/** Factor by which a delay decays until the next sample, if that is on time. */
const decay = 0.8;

/** Time constant of the moving average in milliseconds. */
const meanTimeConstant = 300;

/** A constant delay of 0. */
export const noLoopDelay: LoopDelay = {current: () => 0, mean: () => 0};

/** Samples the delay of the event loop until cancelled. */
export function watchLoopDelay(
  options: LoopDelayOptions,
): LoopDelay & Subscription {
  const {timers} = options;
  let dueAt = timers.now() + samplePeriod;
  let delay = 0;
  let mean = 0;

  const sampling = timers.every(samplePeriod, () => {
    const now = timers.now();
    const late = Math.max(0, now - dueAt);
    dueAt = now + samplePeriod;
    delay = Math.max(late, delay * decay);
    const weight = 1 - Math.exp(-(late + samplePeriod) / meanTimeConstant);
    mean += (late - mean) * weight;
    options.onSample?.(late);
  });

  return {
    current: () => Math.max(delay, timers.now() - dueAt),
    mean: () => mean,
    cancel: () => sampling.cancel(),
  };
}

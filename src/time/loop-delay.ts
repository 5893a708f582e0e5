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

/**
 * Milliseconds between two samples while nothing reads the delay. Each sample
 * wakes the process, and samples were most of the processor time of an idle node.
 */
const idlePeriod = 100;

/** Milliseconds after the last read until the longer period is used. */
const idleAfter = 5000;

/** Factor by which a delay decays until the next sample, if that is on time. */
const decay = 0.8;

/** Time constant of the moving average in milliseconds. */
const meanTimeConstant = 300;

/** A constant delay of 0. */
export const noLoopDelay: LoopDelay = {current: () => 0, mean: () => 0};

/**
 * Samples the delay of the event loop until cancelled. After a time without reads,
 * samples are less frequent, and the first read then sees only delays that exceed
 * the longer period.
 */
export function watchLoopDelay(
  options: LoopDelayOptions,
): LoopDelay & Subscription {
  const {timers} = options;
  let period = samplePeriod;
  let dueAt = timers.now() + period;
  let readAt = timers.now();
  let delay = 0;
  let mean = 0;
  let sampling = timers.every(period, sample);

  function sample(): void {
    const now = timers.now();
    record(Math.max(0, now - dueAt));
    dueAt = now + period;
    if (now - readAt >= idleAfter) sampleEvery(idlePeriod);
  }

  function record(late: number): void {
    delay = Math.max(late, delay * decay);
    const weight = 1 - Math.exp(-(late + period) / meanTimeConstant);
    mean += (late - mean) * weight;
    options.onSample?.(late);
  }

  function sampleEvery(next: number): void {
    if (next === period) return;
    const now = timers.now();
    if (now > dueAt) record(now - dueAt);
    period = next;
    dueAt = now + period;
    sampling.cancel();
    sampling = timers.every(period, sample);
  }

  function recordRead(): void {
    readAt = timers.now();
    sampleEvery(samplePeriod);
  }

  return {
    current() {
      recordRead();
      return Math.max(delay, timers.now() - dueAt);
    },
    mean() {
      recordRead();
      return mean;
    },
    cancel: () => sampling.cancel(),
  };
}

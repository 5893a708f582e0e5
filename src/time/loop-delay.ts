/**
 * How late the loop of a process runs. What arrives waits for the loop unseen,
 * in sockets; a timer that is due waits for the same turns, and tells how long.
 */
import type {Subscription, Timers} from './timers.js';

/** How late a loop runs, in milliseconds. */
export interface LoopDelay {
  /** What arrives now waits so long until its turn; rises at once, falls slowly. */
  current(): number;
  /** The mean of the last few looks, or of the last one if that was late. */
  mean(): number;
}

/** What `watchLoopDelay` works with. */
export interface LoopDelayOptions {
  readonly timers: Timers;
  /** Hears how late the loop was at each look. */
  readonly onSample?: (late: number) => void;
}

/** Milliseconds between two looks; the delays that matter are as long. */
const lookEvery = 20;

/** What is left of a delay at the next look, when that is on time. */
const kept = 0.8;

/** Milliseconds after which a look has lost most of its weight in the mean. */
const meanOver = 300;

/** The delay of a loop that is never late. */
export const noLoopDelay: LoopDelay = {current: () => 0, mean: () => 0};

/** Watches the loop until cancelled. */
export function watchLoopDelay(
  options: LoopDelayOptions,
): LoopDelay & Subscription {
  const {timers} = options;
  let dueAt = timers.now() + lookEvery;
  let delay = 0;
  let mean = 0;

  const looking = timers.every(lookEvery, () => {
    const now = timers.now();
    const late = Math.max(0, now - dueAt);
    dueAt = now + lookEvery;
    delay = Math.max(late, delay * kept);
    const weight = 1 - Math.exp(-(late + lookEvery) / meanOver);
    mean += (late - mean) * weight;
    options.onSample?.(late);
  });

  return {
    current: () => Math.max(delay, timers.now() - dueAt),
    mean: () => mean,
    cancel: () => looking.cancel(),
  };
}

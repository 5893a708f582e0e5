import type {Subscription, Timers} from '../time/timers.js';

/** Combines changes into one push. */
export interface Batcher {
  /** Reports a change. */
  notify(): void;
  /**
   * Local time of the oldest change that has not been pushed; undefined for
   * none.
   */
  waitingSince(): number | undefined;
  stop(): void;
}

/**
 * Creates a batcher. A change that follows at least `window` milliseconds
 * without a push is pushed at once; changes within the window are pushed
 * together at its end. A single change is therefore not delayed for the sake of
 * fewer bytes.
 */
export function createBatcher(
  window: number,
  timers: Timers,
  push: () => void,
): Batcher {
  let lastPush = Number.NEGATIVE_INFINITY;
  let since: number | undefined;
  let timer: Subscription | undefined;

  function flush(): void {
    timer = undefined;
    since = undefined;
    lastPush = timers.now();
    push();
  }

  return {
    notify() {
      if (timer !== undefined) return;
      const remaining = lastPush + window - timers.now();
      if (remaining <= 0) {
        flush();
        return;
      }
      since = timers.now();
      timer = timers.after(remaining, flush);
    },
    waitingSince: () => since,
    stop: () => timer?.cancel(),
  };
}

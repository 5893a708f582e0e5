import type {Subscription, Timers} from '../time/timers.js';

/** Gathers changes into one push. */
export interface Batcher {
  /** Tells of a change. */
  notify(): void;
  /** When the oldest change that was not pushed came; undefined for none. */
  waitingSince(): number | undefined;
  stop(): void;
}

/**
 * Creates a batcher: the first change after `window` quiet milliseconds is
 * pushed at once, and those that follow inside the window go out together at
 * its end. Convergence time of a lone change is not spent on saving bytes.
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
      const rest = lastPush + window - timers.now();
      if (rest <= 0) {
        flush();
        return;
      }
      since = timers.now();
      timer = timers.after(rest, flush);
    },
    waitingSince: () => since,
    stop: () => timer?.cancel(),
  };
}

import type {Timers} from '../time/timers.js';

/**
 * Creates a generator of increasing sequences. They are microseconds since the
 * epoch, so no state has to be stored between invocations. If two invocations
 * of one operator use the same microsecond, the answer table refuses the second
 * command unless both are the same.
 *
 * The returned function gives a sequence above all earlier ones and `above`.
 */
export function createSequenceGenerator(
  timers: Timers,
): (above?: number) => number {
  let last = 0;
  return (above = 0) => {
    const started = Math.floor(timers.wall()) * 1000;
    const fraction = Math.floor((timers.now() * 1000) % 1000);
    last = Math.max(last + 1, above + 1, started + fraction);
    return last;
  };
}

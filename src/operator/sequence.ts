import type {Timers} from '../time/timers.js';

/**
 * Gives rising sequences that need no memory between invocations:
 * microseconds since the epoch. Two invocations of one operator that meet in
 * one microsecond are told apart by the answer table, which refuses the second
 * command unless it is the same.
 *
 * The function gives a sequence higher than those before and than `above`.
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

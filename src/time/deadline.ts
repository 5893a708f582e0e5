/**
 * Maximum delay that a timer of Node.js supports, in milliseconds. A timer with a
 * longer delay fires at once, so work with a distant deadline would end at its start.
 */
const maxDelay = 2 ** 31 - 1;

/** Milliseconds until a deadline, limited to the range of a timer. */
export function delayUntil(deadline: number, now: number): number {
  return Math.min(Math.max(0, deadline - now), maxDelay);
}

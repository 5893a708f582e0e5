/**
 * Longest delay that a timer of the platform takes, in milliseconds. A longer
 * one would fire at once, and work with a far deadline would end at its start.
 */
const longestDelay = 2 ** 31 - 1;

/** Milliseconds to wait for a deadline, as a timer takes them. */
export function delayUntil(deadline: number, now: number): number {
  return Math.min(Math.max(0, deadline - now), longestDelay);
}

import type {Random} from '../random/random.js';

/** Bounds of an exponential delay, in milliseconds. */
export interface BackoffBounds {
  /** Upper bound of the first delay. */
  readonly first: number;
  /** Upper bound of every delay. */
  readonly most: number;
}

/**
 * Returns a delay with full jitter: uniform between 0 and a bound that doubles
 * with each attempt. Processes that lost their links at the same moment
 * therefore reconnect spread over the whole interval.
 */
export function backoffDelay(
  attempt: number,
  bounds: BackoffBounds,
  random: Random,
): number {
  const bound = Math.min(bounds.most, bounds.first * 2 ** attempt);
  return random.fraction() * bound;
}

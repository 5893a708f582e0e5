import type {Random} from '../random/random.js';

/** Bounds of a growing delay, in milliseconds. */
export interface BackoffBounds {
  readonly first: number;
  readonly most: number;
}

/**
 * A delay with full jitter: uniform from 0 to a bound that doubles with each
 * attempt. A herd that was cut at one moment so spreads over the whole bound.
 */
export function backoffDelay(
  attempt: number,
  bounds: BackoffBounds,
  random: Random,
): number {
  const bound = Math.min(bounds.most, bounds.first * 2 ** attempt);
  return random.fraction() * bound;
}

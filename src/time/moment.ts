import type {Clock} from './clock.js';

/** A point in time by both clocks, in milliseconds. */
export interface Moment {
  /** By the monotonic clock, which stops while a VM is suspended. */
  readonly steady: number;
  /** By the time of day, which may be set forward or back. */
  readonly wall: number;
}

/** The present moment. */
export function currentMoment(clock: Clock): Moment {
  return {steady: clock.now(), wall: clock.wall()};
}

/** The moment `duration` milliseconds before another. */
export function before({steady, wall}: Moment, duration: number): Moment {
  return {steady: steady - duration, wall: wall - duration};
}

/**
 * Milliseconds since a moment, by the clock that counts more of them. It never
 * reports less than the steady clock, however the time of day is set.
 */
export function elapsedSince({steady, wall}: Moment, clock: Clock): number {
  return Math.max(clock.now() - steady, clock.wall() - wall);
}

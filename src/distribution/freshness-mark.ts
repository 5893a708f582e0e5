import type {Pong} from '../fleet/messages.js';

/** Freshness of the state of a home, as its answer to a ping reports it. */
export interface FreshnessMark {
  /**
   * Local time at which a quorum last confirmed the state of the home;
   * undefined if never.
   */
  readonly asOf: number | undefined;
  /** The version that the home last pushed to all subscribers. */
  readonly version: number | undefined;
  /** Local time at which the answered ping was sent. */
  readonly askedAt: number;
}

/**
 * Returns the mark in an answer. Its age counts from the sending of the ping,
 * so that a delayed answer does not look fresher than it is.
 */
export function freshnessMarkOf(
  {age, version}: Pong,
  sentAt: number,
): FreshnessMark {
  const asOf = age === undefined ? undefined : sentAt - age;
  return {asOf, version, askedAt: sentAt};
}

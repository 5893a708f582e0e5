import type {Pong} from '../fleet/messages.js';
import {before} from '../time/moment.js';
import type {Moment} from '../time/moment.js';

/** Freshness of the state of a home, as its answer to a ping reports it. */
export interface FreshnessMark {
  /**
   * Local time at which a quorum last confirmed the state of the home;
   * undefined if never.
   */
  readonly asOf: number | undefined;
  /**
   * The same by both clocks, with the time for which VMs were suspended;
   * undefined if never.
   */
  readonly confirmedAt?: Moment | undefined;
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
  {age, fullAge = 0, version}: Pong,
  sentAt: Moment,
): FreshnessMark {
  const askedAt = sentAt.steady;
  if (age === undefined) return {asOf: undefined, version, askedAt};
  const confirmedAt = before(sentAt, Math.max(age, fullAge));
  return {asOf: askedAt - age, confirmedAt, version, askedAt};
}

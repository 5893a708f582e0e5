/** How fresh a home's state is, as it tells in its answer to a ping. */
import type {Pong} from '../fleet/messages.js';

/** What a home last told of its state. */
export interface FreshnessMark {
  /** Local time at which the home's state was still confirmed by a quorum. */
  readonly asOf: number | undefined;
  /** The version that the home last sent to all. */
  readonly version: number | undefined;
  /** Local time at which the ping was sent that it answers. */
  readonly askedAt: number;
}

/**
 * The mark that an answer tells. Its age counts from the ping, so that an
 * answer that was held back never looks fresher than it is.
 */
export function freshnessMarkOf({age, version}: Pong, sentAt: number): FreshnessMark {
  const asOf = age === undefined ? undefined : sentAt - age;
  return {asOf, version, askedAt: sentAt};
}

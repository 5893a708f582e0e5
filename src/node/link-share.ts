/** How much of its VM's link a node lets large bodies and answers take. */
import {placesFor} from '../request/decisions/body-places.js';
import {createEgressReservations} from '../request/decisions/egress-reservations.js';
import type {EgressReservations} from '../request/decisions/egress-reservations.js';
import {createEgressQueue} from '../request/transport/egress-queue.js';
import type {EgressQueue} from '../request/transport/egress-queue.js';
import {
  answerRateOf,
  bodyRateOf,
  createPace,
} from '../request/transport/pace.js';
import type {Pace} from '../request/transport/pace.js';
import type {NodeSettings} from '../settings/schema.js';
import type {Timers} from '../time/timers.js';

/** The shares of the link in and of the link out, which don't share a rate. */
export interface LinkShare {
  /** How fast they are read together. */
  readonly uploadPacer: Pace;
  /** How many uploads the gate takes in at once. */
  readonly uploadSlots: number;
  /** The way out for the answers that it sends. */
  readonly egressQueue: EgressQueue;
  /** Room for the answers of its upstream. */
  readonly reservations: EgressReservations;
}

/** Resolves the share; undefined where no setting tells the link's rate. */
export function resolveLinkShare(
  {linkRate}: Pick<NodeSettings, 'linkRate'>,
  timers: Timers,
): LinkShare | undefined {
  if (linkRate === undefined) return undefined;
  const rate = bodyRateOf(linkRate);
  const answerRate = answerRateOf(linkRate);
  const egressQueue = createEgressQueue({rate: answerRate, timers});
  return {
    uploadPacer: createPace(rate, timers),
    uploadSlots: placesFor(rate),
    egressQueue,
    reservations: createEgressReservations({
      rate: answerRate,
      waiting: () => egressQueue.waiting,
      taken: () => egressQueue.taken,
      clock: timers,
    }),
  };
}

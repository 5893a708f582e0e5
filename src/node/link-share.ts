/** The share of the VM's network link that large request and response bodies may use. */
import {uploadSlotsFor} from '../request/decisions/upload-slots.js';
import {createEgressReservations} from '../request/decisions/egress-reservations.js';
import type {EgressReservations} from '../request/decisions/egress-reservations.js';
import {createEgressQueue} from '../request/transport/egress-queue.js';
import type {EgressQueue} from '../request/transport/egress-queue.js';
import {
  answerRateOf,
  bodyRateOf,
  createUploadPacer,
} from '../request/transport/pacing.js';
import type {UploadPacer} from '../request/transport/pacing.js';
import type {NodeSettings} from '../settings/schema.js';
import type {Timers} from '../time/timers.js';

/** Shares of the inbound and the outbound link, whose rates are independent. */
export interface LinkShare {
  /** Limits the total rate at which uploads are read. */
  readonly uploadPacer: UploadPacer;
  /** Maximum number of uploads that the gate receives concurrently. */
  readonly uploadSlots: number;
  /** Queue of the responses that the node sends. */
  readonly egressQueue: EgressQueue;
  /** Reserves outbound capacity for the responses of the upstream. */
  readonly reservations: EgressReservations;
}

/** Creates the share; undefined if the settings don't give the rate of the link. */
export function resolveLinkShare(
  {linkRate}: Pick<NodeSettings, 'linkRate'>,
  timers: Timers,
): LinkShare | undefined {
  if (linkRate === undefined) return undefined;
  const rate = bodyRateOf(linkRate);
  const answerRate = answerRateOf(linkRate);
  const egressQueue = createEgressQueue({rate: answerRate, timers});
  return {
    uploadPacer: createUploadPacer(rate, timers),
    uploadSlots: uploadSlotsFor(rate),
    egressQueue,
    reservations: createEgressReservations({
      rate: answerRate,
      waiting: () => egressQueue.waiting,
      taken: () => egressQueue.taken,
      clock: timers,
    }),
  };
}

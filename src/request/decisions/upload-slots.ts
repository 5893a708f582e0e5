/**
 * Limits the number of uploads that a gate receives concurrently. If many
 * bodies share the link, each takes seconds and occupies an upstream slot
 * meanwhile: other calls find no free slot, and all uploads are late. Uploads
 * without an upload slot wait without an upstream slot, and are refused as soon
 * as they would be late.
 */
import type {Clock} from '../../time/clock.js';
import type {StreamUpload} from '../messages/upload.js';
import {createAdmission} from './admission.js';
import type {Admission, Ticket} from './admission.js';

/**
 * Minimum bytes per second for each body, enough for a photo in half a second.
 */
const minRate = 512 * 1024;

/** Upload slots for a link that carries `rate` bytes of bodies per second. */
export function uploadSlotsFor(rate: number): number {
  return Math.max(2, Math.floor(rate / minRate));
}

/** Options of `withUploadSlots`. */
export interface UploadSlotsOptions {
  /** Admission to the slots of the upstream. */
  readonly admission: Admission;
  /** Number of slots of the upstream. */
  readonly slots: number;
  /** Maximum number of concurrent uploads. */
  readonly uploadSlots: number;
  /** Maximum number of uploads that wait for an upload slot. */
  readonly queueLength: number;
  readonly clock: Clock;
}

/**
 * Wraps an admission so that uploads get an upload slot before an upstream
 * slot. Returns the admission unchanged if there are as many upload slots as
 * slots.
 */
export function withUploadSlots(options: UploadSlotsOptions): Admission {
  const {admission, clock} = options;
  if (options.uploadSlots >= options.slots) return admission;
  // Upload timeouts are several seconds long. Served in the order of arrival on
  // a full link, all uploads would wait for that time and be late. If the last
  // one is served first, as many as the link carries are in time, and the rest
  // are refused.
  const uploads = createAdmission({
    slots: options.uploadSlots,
    queueLength: options.queueLength,
    order: 'lifo',
    clock,
  });
  /** Maps each waiting upload to its ticket for an upload slot. */
  const uploadTickets = new Map<Ticket, Ticket>();

  function offerUpload(ticket: Ticket, body: StreamUpload): void {
    const uploadTicket: Ticket = {
      ...ticket,
      start() {
        uploadTickets.delete(ticket);
        const startedAt = clock.now();
        body.onEnd(isWhole => {
          const duration = isWhole ? clock.now() - startedAt : undefined;
          uploads.done(duration, ticket.kind, true, ticket.rank);
        });
        admission.offer(ticket);
      },
      refuse(reason) {
        uploadTickets.delete(ticket);
        ticket.refuse(reason);
      },
    };
    uploadTickets.set(ticket, uploadTicket);
    uploads.offer(uploadTicket);
  }

  return {
    get running() {
      return admission.running;
    },
    get waiting() {
      return admission.waiting + uploads.waiting;
    },
    get load() {
      return Math.max(admission.load, uploads.load);
    },
    waitingOf: workspace =>
      admission.waitingOf(workspace) + uploads.waitingOf(workspace),
    offer(ticket) {
      const {body} = ticket;
      // A body that does not cross the link takes nothing from the others.
      if (body === undefined || !body.isPaced) admission.offer(ticket);
      else offerUpload(ticket, body);
    },
    withdraw(ticket) {
      const uploadTicket = uploadTickets.get(ticket);
      if (uploadTicket === undefined) return admission.withdraw(ticket);
      uploadTickets.delete(ticket);
      return uploads.withdraw(uploadTicket);
    },
    done: admission.done,
    estimate: admission.estimate,
    refuseWaiting(reason) {
      uploads.refuseWaiting(reason);
      admission.refuseWaiting(reason);
    },
  };
}

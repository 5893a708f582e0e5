/**
 * How many uploads an upstream's gate takes in at once. A body that shares the
 * link with many others takes seconds and holds its slot all the while, so that
 * lookups find none free, and all uploads are late together. Those beyond the
 * places wait without a slot, or are refused as soon as they can't be in time.
 */
import type {Clock} from '../../time/clock.js';
import type {StreamUpload} from '../messages/upload.js';
import {createAdmission} from './admission.js';
import type {Admission, Ticket} from './admission.js';

/** Bytes a second that each body gets at least: a photograph in half a second. */
const leastRate = 512 * 1024;

/** Places for bodies that come over a link with `rate` bytes a second for them. */
export function uploadSlotsFor(rate: number): number {
  return Math.max(2, Math.floor(rate / leastRate));
}

/** What `withBodyPlaces` works with. */
export interface UploadSlotsOptions {
  /** Admits to the slots of the upstream. */
  readonly admission: Admission;
  readonly slots: number;
  readonly uploadSlots: number;
  /** Uploads that may wait for a place. */
  readonly queueLength: number;
  readonly clock: Clock;
}

/**
 * Has uploads wait for a place before they ask for a slot. A link that carries
 * as many bodies as there are slots leaves that to the slots.
 */
export function withUploadSlots(options: UploadSlotsOptions): Admission {
  const {admission, clock} = options;
  if (options.uploadSlots >= options.slots) return admission;
  // Callers of uploads wait for seconds. In the order of arrival all of them
  // would wait that long and be late once the link is full; the last first, as
  // many as the link carries are in time, and those before them are refused.
  const places = createAdmission({
    slots: options.uploadSlots,
    queueLength: options.queueLength,
    order: 'lifo',
    clock,
  });
  /** The tickets that uploads wait with for a place. */
  const waiting = new Map<Ticket, Ticket>();

  function offerBody(ticket: Ticket, body: StreamUpload): void {
    const place: Ticket = {
      ...ticket,
      start() {
        waiting.delete(ticket);
        const startedAt = clock.now();
        body.onEnd(isWhole => {
          const duration = isWhole ? clock.now() - startedAt : undefined;
          places.done(duration, ticket.kind);
        });
        admission.offer(ticket);
      },
      refuse(reason) {
        waiting.delete(ticket);
        ticket.refuse(reason);
      },
    };
    waiting.set(ticket, place);
    places.offer(place);
  }

  return {
    get running() {
      return admission.running;
    },
    get waiting() {
      return admission.waiting + places.waiting;
    },
    get load() {
      return Math.max(admission.load, places.load);
    },
    offer(ticket) {
      if (ticket.body === undefined) admission.offer(ticket);
      else offerBody(ticket, ticket.body);
    },
    withdraw(ticket) {
      const place = waiting.get(ticket);
      if (place === undefined) return admission.withdraw(ticket);
      waiting.delete(ticket);
      return places.withdraw(place);
    },
    done: admission.done,
    refuseWaiting(reason) {
      places.refuseWaiting(reason);
      admission.refuseWaiting(reason);
    },
  };
}

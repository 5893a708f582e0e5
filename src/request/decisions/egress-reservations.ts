/**
 * Reserves capacity of the egress link of a VM for large answers. An answer
 * that can't be sent in time wastes a slot and delays other answers, so its
 * request is refused before it starts.
 */
import type {Clock} from '../../time/clock.js';
import {answerQuantum} from '../messages/answer.js';
import type {Refusal} from '../messages/call.js';
import {requestCodes} from '../messages/codes.js';
import {createRefusal} from '../messages/refusal.js';
import {createAnswerSizes} from './answer-sizes.js';

/** Link capacity that is reserved for the answer to one call. */
export interface EgressReservation {
  /**
   * Releases bytes of the answer that arrived and now wait in the egress queue.
   */
  arrived(bytes: number): void;
  /** Releases the rest, since no more of the answer will arrive. */
  end(): void;
}

/** The reservations on one egress link. */
export interface EgressReservations {
  /**
   * Reserved and queued bytes plus one average answer, divided by the bytes
   * that the link can send in the time that answers have on average.
   */
  readonly load: number;
  /** Whether answers of a kind are large, by their mean size so far. */
  isLarge(kind: string | undefined): boolean;
  /** The refusal if an answer of a kind can't be sent before `until`. */
  refusal(kind: string | undefined, until: number): Refusal | undefined;
  /** Reserves capacity for an answer of a kind. */
  reserve(kind: string | undefined): EgressReservation;
  /** Records the size of an answer of a kind, in bytes. */
  recordSize(kind: string | undefined, bytes: number): void;
}

/** Options of `createEgressReservations`. */
export interface EgressReservationsOptions {
  /** Capacity for answers, in bytes per second. */
  readonly rate: number;
  /** Bytes of answers in the egress queue. */
  readonly waiting: () => number;
  /** Bytes per second that small answers use; 0 if absent. */
  readonly taken?: () => number;
  readonly clock: Clock;
}

const millisecondsPerSecond = 1000;

/**
 * Share of the remaining time within which an answer must be sent, by the
 * estimate. The rest allows for answers without a reservation that are sent
 * first (small ones and those to the entry's callers), for sizes above the
 * mean, and for the remaining path to the caller.
 */
const sendTimeShare = 0.65;

/** Weight of the newest answer in the moving averages. */
const newestWeight = 0.1;

/** Minimum retry delay in seconds: the time to send one large answer. */
const minRetryDelay = 0.05;

/** Share of the rate that is assumed to be free for large answers at least. */
const minFreeShare = 0.05;

const noReservation: EgressReservation = {arrived: () => {}, end: () => {}};

/** Creates the reservations of an idle link. */
export function createEgressReservations(
  options: EgressReservationsOptions,
): EgressReservations {
  const {rate, waiting, clock} = options;
  const sizes = createAnswerSizes();
  /** Reserved bytes that have not arrived yet. */
  let expected = 0;
  /** Number of open reservations by kind. */
  const openCounts = new Map<string, number>();
  /**
   * Moving averages of the time available to send an answer, in seconds, and of
   * the answer's size in bytes.
   */
  let averageTime: number | undefined;
  let averageSize = 0;

  /** Bytes that an answer sends before the next one is served. */
  const sizeOf = (kind: string) => Math.min(answerQuantum, sizes.mean(kind));

  function observe(time: number, size: number): void {
    const weight = averageTime === undefined ? 1 : newestWeight;
    averageTime = (averageTime ?? 0) * (1 - weight) + time * weight;
    averageSize += (size - averageSize) * weight;
  }

  /** Bytes per second that are free for large answers. */
  function freeRate(): number {
    const taken = options.taken?.() ?? 0;
    return Math.max(rate * minFreeShare, rate - taken);
  }

  function closeReservation(kind: string): void {
    const count = openCounts.get(kind)! - 1;
    if (count > 0) openCounts.set(kind, count);
    else openCounts.delete(kind);
  }

  const backlog = () => expected + waiting();
  const isLarge = (kind: string | undefined) =>
    kind !== undefined && sizes.isLarge(kind);

  return {
    get load() {
      if (averageTime === undefined) return 0;
      return (backlog() + averageSize) / (freeRate() * averageTime);
    },
    isLarge,
    refusal: (kind, until) => {
      if (!isLarge(kind)) return undefined;
      const size = sizeOf(kind!);
      const remainingTime = (until - clock.now()) / millisecondsPerSecond;
      const time = Math.max(0, remainingTime * sendTimeShare);
      // A call that is late already says nothing about the time that others
      // have.
      if (time > 0) observe(time, size);
      const queued = backlog();
      const free = freeRate();
      // An idle link is always used, even if the answer seems to be too large.
      if (queued === 0 || (queued + size) / free <= time) return undefined;
      // If no answer ever seems to fit, one is admitted to correct the
      // estimate.
      if (size / free > time && !openCounts.has(kind!)) return undefined;
      const wait = Math.max(minRetryDelay, queued / free);
      return createRefusal(requestCodes.deadlineUnreachable, undefined, wait);
    },
    reserve: kind => {
      if (!isLarge(kind)) return noReservation;
      // Whole bytes avoid rounding errors when the reservation is released.
      let remaining = Math.round(sizeOf(kind!));
      expected += remaining;
      openCounts.set(kind!, (openCounts.get(kind!) ?? 0) + 1);
      let isEnded = false;

      function arrived(bytes: number): void {
        const released = Math.min(remaining, bytes);
        remaining -= released;
        expected -= released;
      }

      function end(): void {
        arrived(remaining);
        if (isEnded) return;
        isEnded = true;
        closeReservation(kind!);
      }

      return {arrived, end};
    },
    recordSize: (kind, bytes) => {
      if (kind !== undefined) sizes.add(kind, bytes);
    },
  };
}

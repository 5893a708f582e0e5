/**
 * What is reserved of the link out of a VM. An answer that can't leave in time
 * wastes a slot, and the bytes of it make others late, so its work is refused
 * before it starts.
 */
import type {Clock} from '../../time/clock.js';
import {answerQuantum} from '../messages/answer.js';
import type {Refusal} from '../messages/call.js';
import {requestCodes} from '../messages/codes.js';
import {createRefusal} from '../messages/refusal.js';
import {createAnswerSizes} from './answer-sizes.js';

/** Room on the link that one piece of work has reserved. */
export interface EgressReservation {
  /** So many bytes of its answer have come and wait for the link by themselves. */
  arrived(bytes: number): void;
  /** No more of it will come. */
  end(): void;
}

/** The room on the link out. */
export interface EgressReservations {
  /** Reserved bytes, with one more answer, over what leaves in good time. */
  readonly load: number;
  /** Whether answers of a kind are large, as far as is known. */
  isLarge(kind: string | undefined): boolean;
  /** Why work of a kind can't start, whose answer has to leave until then. */
  refusal(kind: string | undefined, until: number): Refusal | undefined;
  /** Keeps room for work of a kind. */
  reserve(kind: string | undefined): EgressReservation;
  /** An answer of a kind had so many bytes. */
  recordSize(kind: string | undefined, bytes: number): void;
}

/** Options of `createEgressReservations`. */
export interface EgressReservationsOptions {
  /** Bytes a second that answers may take. */
  readonly rate: number;
  /** Bytes of answers that wait for the link. */
  readonly waiting: () => number;
  /** Bytes a second that small answers take; none unless given. */
  readonly taken?: () => number;
  readonly clock: Clock;
}

const millisecondsPerSecond = 1000;

/**
 * Share of its time in which an answer has to leave by the estimate. The rest is
 * for answers without a reservation that go before it, those of the entry's
 * callers and small ones, for sizes beyond the mean, and for the way on.
 */
const promptShare = 0.65;

/** Weight of the newest answer in the mean of the time that they have. */
const newest = 0.1;

/** Seconds that a refused caller waits at least: one large answer's time. */
const leastWait = 0.05;

/** Share of the rate that large answers are taken to have at least. */
const leastFree = 0.05;

const noReservation: EgressReservation = {arrived: () => {}, end: () => {}};

/** Creates the room of a link that carries nothing yet. */
export function createEgressReservations(
  options: EgressReservationsOptions,
): EgressReservations {
  const {rate, waiting, clock} = options;
  const sizes = createAnswerSizes();
  /** Reserved bytes that have not come yet. */
  let expected = 0;
  /** Reservations of each kind whose work has not ended. */
  const underWay = new Map<string, number>();
  /** Seconds in which a large answer usually has to leave, and its bytes. */
  let usualTime: number | undefined;
  let usualSize = 0;

  /** What others wait for when it has its turn. */
  const sizeOf = (kind: string) => Math.min(answerQuantum, sizes.mean(kind));

  function observe(time: number, size: number): void {
    const weight = usualTime === undefined ? 1 : newest;
    usualTime = (usualTime ?? 0) * (1 - weight) + time * weight;
    usualSize += (size - usualSize) * weight;
  }

  /** Bytes a second that are left for large answers. */
  function freeRate(): number {
    const taken = options.taken?.() ?? 0;
    return Math.max(rate * leastFree, rate - taken);
  }

  function leave(kind: string): void {
    const others = underWay.get(kind)! - 1;
    if (others > 0) underWay.set(kind, others);
    else underWay.delete(kind);
  }

  const backlog = () => expected + waiting();
  const isLarge = (kind: string | undefined) =>
    kind !== undefined && sizes.isLarge(kind);

  return {
    get load() {
      if (usualTime === undefined) return 0;
      return (backlog() + usualSize) / (freeRate() * usualTime);
    },
    isLarge,
    refusal: (kind, until) => {
      if (!isLarge(kind)) return undefined;
      const size = sizeOf(kind!);
      const left = (until - clock.now()) / millisecondsPerSecond;
      const time = Math.max(0, left * promptShare);
      // A call that is late already tells nothing of the time that others have.
      if (time > 0) observe(time, size);
      const before = backlog();
      const speed = freeRate();
      // Whatever the estimates, a free link is worth a try.
      if (before === 0 || (before + size) / speed <= time) return undefined;
      // Only answers that come correct an estimate by which none ever fits.
      if (size / speed > time && !underWay.has(kind!)) return undefined;
      const wait = Math.max(leastWait, before / speed);
      return createRefusal(requestCodes.deadlineUnreachable, undefined, wait);
    },
    reserve: kind => {
      if (!isLarge(kind)) return noReservation;
      // Whole bytes, so that what is taken back leaves no rest.
      let left = Math.round(sizeOf(kind!));
      expected += left;
      underWay.set(kind!, (underWay.get(kind!) ?? 0) + 1);
      let isOver = false;

      function arrived(bytes: number): void {
        const less = Math.min(left, bytes);
        left -= less;
        expected -= less;
      }

      function end(): void {
        arrived(left);
        if (isOver) return;
        isOver = true;
        leave(kind!);
      }

      return {arrived, end};
    },
    recordSize: (kind, bytes) => {
      if (kind !== undefined) sizes.add(kind, bytes);
    },
  };
}

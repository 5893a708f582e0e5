/**
 * The pace at which a VM takes in large bodies. They come from many senders at
 * once, each as fast as it can, and fill the link: then marks, lookups and
 * small requests for this VM wait behind them for a second and more. Read no
 * faster than a share of the link, they wait in their senders' windows.
 */
import type {Clock} from '../../time/clock.js';
import type {Timers} from '../../time/timers.js';

/** The pace of all bodies of one process. */
export interface UploadPacer {
  /** Resolves once so many more bytes may be read. */
  take(bytes: number): Promise<void>;
}

/** Counts bytes against a rate. */
export interface TokenBucket {
  /** Milliseconds until more bytes may pass; 0 or less for none. */
  wait(): number;
  /** So many bytes pass, whether they had to wait or not. */
  consume(bytes: number): void;
}

const bitsPerByte = 8;
const bitsPerMegabit = 1e6;
const millisecondsPerSecond = 1000;

/**
 * Share of the link that large bodies may take. The rest carries small
 * requests and control, a few kilobytes each, which wait where it is short.
 */
const bodyShare = 0.9;

/**
 * Share of the link that answers may take, small ones included. The rest is for
 * heads, requests, control and packets' own headers, which nobody counts; a link
 * that is full but for a hundredth makes each small answer wait.
 */
const answerShare = 0.8;

/** Bytes a second that large bodies may take of a link of `megabits` a second. */
export function bodyRateOf(megabits: number): number {
  return bytesPerSecond(megabits) * bodyShare;
}

/** Bytes a second that answers may take of a link of `megabits` a second. */
export function answerRateOf(megabits: number): number {
  return bytesPerSecond(megabits) * answerShare;
}

function bytesPerSecond(megabits: number): number {
  return (megabits * bitsPerMegabit) / bitsPerByte;
}

/** Milliseconds' worth of bytes that may come at once after a pause. */
const burst = 50;

/** Creates a meter of `rate` bytes a second with so many milliseconds' burst. */
export function createTokenBucket(rate: number, clock: Clock, burst: number): TokenBucket {
  /** When all that was let through would have come at the rate. */
  let paidUntil = Number.NEGATIVE_INFINITY;

  return {
    wait: () => paidUntil - burst - clock.now(),
    consume: bytes => {
      const duration = (bytes / rate) * millisecondsPerSecond;
      paidUntil = Math.max(paidUntil, clock.now()) + duration;
    },
  };
}

/** Creates a pace of `rate` bytes a second. */
export function createUploadPacer(rate: number, timers: Timers): UploadPacer {
  const meter = createTokenBucket(rate, timers, burst);

  return {
    take(bytes) {
      const wait = meter.wait();
      meter.consume(bytes);
      if (wait <= 0) return Promise.resolve();
      return new Promise(resolve => void timers.after(wait, resolve));
    },
  };
}

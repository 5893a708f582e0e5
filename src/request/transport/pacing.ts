/**
 * Limits the rates at which a VM reads large request bodies and sends answers.
 *
 * Many senders upload concurrently, each as fast as it can, and saturate the
 * link. Freshness marks and small requests for this VM would then be delayed by
 * a second or more. If the process reads large bodies at a share of the link's
 * rate, TCP flow control holds the remaining bytes back at the senders.
 */
import type {Clock} from '../../time/clock.js';
import type {Timers} from '../../time/timers.js';

/** Limits the rate at which all large bodies of a process are read. */
export interface UploadPacer {
  /** Resolves when `bytes` more bytes may be read. */
  take(bytes: number): Promise<void>;
}

/** Limits a byte rate and allows short bursts. */
export interface TokenBucket {
  /** Milliseconds until more bytes may pass; 0 or less if they may pass now. */
  wait(): number;
  /** Counts `bytes` that pass, even if `wait` asks for a delay. */
  consume(bytes: number): void;
}

const bitsPerByte = 8;
const bitsPerMegabit = 1e6;
const millisecondsPerSecond = 1000;

/**
 * Share of the link's rate for large bodies. The rest is for small requests and
 * control messages of a few kilobytes, which are delayed if it is too small.
 */
const bodyShare = 0.9;

/**
 * Share of the link's rate for answers, including small ones. The rest is for
 * bytes that are not counted: heads, requests, control messages and packet
 * headers. On a link with 99 % utilization every small answer is delayed.
 */
const answerShare = 0.8;

/** Bytes per second for large bodies on a link of `megabits` per second. */
export function bodyRateOf(megabits: number): number {
  return bytesPerSecond(megabits) * bodyShare;
}

/** Bytes per second for answers on a link of `megabits` per second. */
export function answerRateOf(megabits: number): number {
  return bytesPerSecond(megabits) * answerShare;
}

function bytesPerSecond(megabits: number): number {
  return (megabits * bitsPerMegabit) / bitsPerByte;
}

/** Size of a burst after a pause, in milliseconds at the limited rate. */
const burst = 50;

/**
 * Creates a token bucket that passes `rate` bytes per second, with bursts of as
 * many bytes as the rate passes in `burst` milliseconds.
 */
export function createTokenBucket(
  rate: number,
  clock: Clock,
  burst: number,
): TokenBucket {
  /** Time at which all consumed bytes would have passed at the rate. */
  let paidUntil = Number.NEGATIVE_INFINITY;

  return {
    wait: () => paidUntil - burst - clock.now(),
    consume: bytes => {
      const duration = (bytes / rate) * millisecondsPerSecond;
      paidUntil = Math.max(paidUntil, clock.now()) + duration;
    },
  };
}

/** Creates a pacer that lets `rate` bytes per second be read. */
export function createUploadPacer(rate: number, timers: Timers): UploadPacer {
  const bucket = createTokenBucket(rate, timers, burst);

  return {
    take(bytes) {
      const wait = bucket.wait();
      bucket.consume(bytes);
      if (wait <= 0) return Promise.resolve();
      return new Promise(resolve => void timers.after(wait, resolve));
    },
  };
}

import type {Random} from '../random/random.js';
import type {Subscription, Timers} from '../time/timers.js';

/** One wish to be brought up to date. */
export interface Sync {
  /** How far behind it is: Infinity when it serves nothing. */
  readonly need: number;
  /** Bytes that it will take. */
  readonly cost: number;
  /** Called once when it is admitted. */
  admit(): void;
  /** Called instead when it should come back after `after` milliseconds. */
  postpone(after: number): void;
}

/** A place in the queue. */
export interface Ticket {
  cancel(): void;
}

/** Admits syncs at a bounded rate. */
export interface Admission {
  offer(sync: Sync): Ticket;
  /** Syncs that wait now. */
  waiting(): number;
  stop(): void;
}

/** Settings of an admission. */
export interface AdmissionOptions {
  readonly timers: Timers;
  readonly random: Random;
  /** Cost admitted in a second. */
  readonly rate: number;
  /** Added to each sync's cost. */
  readonly overhead: number;
  /** Seconds' worth of cost that may wait. */
  readonly horizon: number;
  /** Milliseconds between admissions while syncs wait. */
  readonly tick: number;
}

/**
 * Creates an admission. A herd that returns at once would otherwise fill the
 * links and the loop with states, and an accepted change would wait behind
 * them. Who needs the newest state most goes first (those that serve nothing,
 * then the oldest version); what does not fit into the horizon is told when to
 * come back, spread with full jitter over the time that the rest will take.
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const {timers, random, rate, overhead, horizon, tick} = options;
  const capacity = rate * horizon;
  const burst = Math.max((rate * tick) / 1000, overhead);
  const queue: Sync[] = [];
  let queued = 0;
  let tokens = burst;
  let filled = timers.now();
  let timer: Subscription | undefined;
  /** Cost that was sent away, and when all of it may be back. */
  let away = 0;
  let awayUntil = Number.NEGATIVE_INFINITY;

  const costOf = (sync: Sync) => sync.cost + overhead;

  function refill(): void {
    const now = timers.now();
    tokens = Math.min(burst, tokens + ((now - filled) / 1000) * rate);
    filled = now;
  }

  function place(sync: Sync): void {
    let at = queue.length;
    while (at > 0 && goesFirst(sync, queue[at - 1]!)) at--;
    queue.splice(at, 0, sync);
    queued += costOf(sync);
  }

  function drop(sync: Sync): boolean {
    const at = queue.indexOf(sync);
    if (at < 0) return false;
    queue.splice(at, 1);
    queued -= costOf(sync);
    return true;
  }

  /** A sync may overdraw the bucket, so that a large one is never starved. */
  function admitDue(): void {
    refill();
    while (queue.length > 0 && tokens > 0) {
      const sync = queue[0]!;
      drop(sync);
      tokens -= costOf(sync);
      sync.admit();
    }
    if (queue.length > 0) timer ??= timers.every(tick, admitDue);
    else stopTimer();
  }

  function stopTimer(): void {
    timer?.cancel();
    timer = undefined;
  }

  function postponeLast(): void {
    const last = queue[queue.length - 1]!;
    drop(last);
    const now = timers.now();
    if (now > awayUntil) away = 0;
    away += costOf(last);
    const spread = (away / rate) * 1000;
    const after = horizon * 1000 + random.fraction() * spread;
    awayUntil = Math.max(awayUntil, now + horizon * 1000 + spread);
    last.postpone(Math.ceil(after));
  }

  return {
    offer(sync) {
      place(sync);
      admitDue();
      while (queued > capacity && queue.length > 1) postponeLast();
      return {cancel: () => void drop(sync)};
    },
    waiting: () => queue.length,
    stop: stopTimer,
  };
}

function goesFirst(left: Sync, right: Sync): boolean {
  if (left.need !== right.need) return left.need > right.need;
  return left.cost < right.cost;
}

import type {Random} from '../random/random.js';
import type {Subscription, Timers} from '../time/timers.js';

/** One wish to be brought up to date. */
export interface SyncRequest {
  /** How far behind it is: Infinity when it serves nothing. */
  readonly versionsBehind: number;
  /** Bytes that it will take. */
  readonly cost: number;
  /** Called once when it is admitted. */
  admit(): void;
  /** Called instead when it should come back after `after` milliseconds. */
  postpone(after: number): void;
}

/** A place in the queue, or the note that a sync was told to come back. */
export interface Ticket {
  /** Takes the sync out; to be called also when it has come back. */
  cancel(): void;
}

/** Admits syncs at a bounded rate. */
export interface Admission {
  offer(sync: SyncRequest): Ticket;
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
  readonly maxQueueSeconds: number;
  /** Milliseconds between admissions while syncs wait. */
  readonly period: number;
}

/**
 * Creates an admission. A herd that returns at once would otherwise fill the
 * links and the loop with states, and an accepted change would wait behind
 * them. Who needs the newest state most goes first (those that serve nothing,
 * then the oldest version); what does not fit into the horizon is told when to
 * come back, spread with full jitter over the time that those away will take.
 * That sum must shrink as they return: counted for good, it spread the herd
 * over up to twice the time that its states needed.
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const {timers, random, rate, overhead, maxQueueSeconds: horizon, period: tick} = options;
  const capacity = rate * horizon;
  const burst = Math.max((rate * tick) / 1000, overhead);
  const costOf = (sync: SyncRequest) => sync.cost + overhead;
  const queue = createOrder(costOf);
  const away = createOrder(costOf);
  let tokens = burst;
  let filled = timers.now();
  let timer: Subscription | undefined;

  function refill(): void {
    const now = timers.now();
    tokens = Math.min(burst, tokens + ((now - filled) / 1000) * rate);
    filled = now;
  }

  /** A sync may overdraw the bucket, so that a large one is never starved. */
  function admitDue(): void {
    refill();
    for (let sync = queue.first(); sync && tokens > 0; sync = queue.first()) {
      queue.remove(sync);
      tokens -= costOf(sync);
      sync.admit();
    }
    if (queue.size() > 0) timer ??= timers.every(tick, admitDue);
    else stopTimer();
  }

  function stopTimer(): void {
    timer?.cancel();
    timer = undefined;
  }

  function postponeLast(): void {
    const sync = queue.last()!;
    queue.remove(sync);
    away.add(sync);
    const spread = away.cost() / rate;
    const after = (horizon + random.fraction() * spread) * 1000;
    sync.postpone(Math.ceil(after));
  }

  return {
    offer(sync) {
      queue.add(sync);
      admitDue();
      while (queue.cost() > capacity && queue.size() > 1) postponeLast();
      return {
        cancel() {
          queue.remove(sync);
          away.remove(sync);
        },
      };
    },
    waiting: () => queue.size(),
    stop: stopTimer,
  };
}

/** Syncs in the order in which they are to be admitted. */
interface Order {
  add(sync: SyncRequest): void;
  remove(sync: SyncRequest): void;
  first(): SyncRequest | undefined;
  last(): SyncRequest | undefined;
  size(): number;
  /** The sum of all costs. */
  cost(): number;
}

function createOrder(costOf: (sync: SyncRequest) => number): Order {
  const syncs: SyncRequest[] = [];
  let cost = 0;
  return {
    add(sync) {
      let at = syncs.length;
      while (at > 0 && goesFirst(sync, syncs[at - 1]!)) at--;
      syncs.splice(at, 0, sync);
      cost += costOf(sync);
    },
    remove(sync) {
      const at = syncs.indexOf(sync);
      if (at < 0) return;
      syncs.splice(at, 1);
      cost -= costOf(sync);
    },
    first: () => syncs[0],
    last: () => syncs[syncs.length - 1],
    size: () => syncs.length,
    cost: () => cost,
  };
}

function goesFirst(left: SyncRequest, right: SyncRequest): boolean {
  if (left.versionsBehind !== right.versionsBehind) return left.versionsBehind > right.versionsBehind;
  return left.cost < right.cost;
}

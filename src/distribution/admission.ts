import type {Random} from '../random/random.js';
import type {Subscription, Timers} from '../time/timers.js';

/** A request of one subscriber to be brought to the newest state. */
export interface SyncRequest {
  /** Versions that the subscriber is behind; Infinity when it holds none. */
  readonly versionsBehind: number;
  /** Estimated bytes of the answer. */
  readonly cost: number;
  /** Called when the request is admitted. */
  admit(): void;
  /**
   * Called instead of `admit` when the subscriber should ask again after
   * `after` milliseconds.
   */
  postpone(after: number): void;
}

/** Handle of an offered request, which is either queued or postponed. */
export interface Ticket {
  /**
   * Removes the request from the queue or from the postponed ones. To be called
   * also when a postponed subscriber asks again.
   */
  cancel(): void;
}

/** Admits requests at a bounded rate. */
export interface Admission {
  offer(request: SyncRequest): Ticket;
  /** Number of queued requests. */
  waiting(): number;
  stop(): void;
}

/** Options of createAdmission. */
export interface AdmissionOptions {
  readonly timers: Timers;
  readonly random: Random;
  /** Cost that is admitted per second. */
  readonly rate: number;
  /** Cost that is added to each request. */
  readonly overhead: number;
  /** Capacity of the queue: the cost that is admitted in this many seconds. */
  readonly maxQueueSeconds: number;
  /** Milliseconds between admissions while requests are queued. */
  readonly period: number;
}

/**
 * Creates an admission. Many subscribers that reconnect at once would otherwise
 * fill the links and the event loop with states, and an accepted change would
 * be queued behind them. Subscribers that hold no state are admitted first,
 * then those with the oldest version. Requests that exceed the queue are
 * postponed, with full jitter over the time that all postponed requests will
 * take. The cost of a postponed request no longer counts once its subscriber
 * asks again; otherwise the delays would grow to twice the time that the states
 * need.
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const {timers, random, rate, overhead, maxQueueSeconds, period} = options;
  const capacity = rate * maxQueueSeconds;
  const burst = Math.max((rate * period) / 1000, overhead);
  const costOf = (request: SyncRequest) => request.cost + overhead;
  const queue = createRequestQueue(costOf);
  const postponed = createRequestQueue(costOf);
  let tokens = burst;
  let refilledAt = timers.now();
  let timer: Subscription | undefined;

  function refill(): void {
    const now = timers.now();
    tokens = Math.min(burst, tokens + ((now - refilledAt) / 1000) * rate);
    refilledAt = now;
  }

  /** A request may overdraw the bucket, so that a large one is not starved. */
  function admitDue(): void {
    refill();
    for (
      let request = queue.first();
      request && tokens > 0;
      request = queue.first()
    ) {
      queue.remove(request);
      tokens -= costOf(request);
      request.admit();
    }
    if (queue.size() > 0) timer ??= timers.every(period, admitDue);
    else stopTimer();
  }

  function stopTimer(): void {
    timer?.cancel();
    timer = undefined;
  }

  function postponeLast(): void {
    const request = queue.last()!;
    queue.remove(request);
    postponed.add(request);
    const spread = postponed.cost() / rate;
    const after = (maxQueueSeconds + random.fraction() * spread) * 1000;
    request.postpone(Math.ceil(after));
  }

  return {
    offer(request) {
      queue.add(request);
      admitDue();
      while (queue.cost() > capacity && queue.size() > 1) postponeLast();
      return {
        cancel() {
          queue.remove(request);
          postponed.remove(request);
        },
      };
    },
    waiting: () => queue.size(),
    stop: stopTimer,
  };
}

/** Requests in the order in which they are to be admitted. */
interface RequestQueue {
  add(request: SyncRequest): void;
  remove(request: SyncRequest): void;
  first(): SyncRequest | undefined;
  last(): SyncRequest | undefined;
  size(): number;
  /** Sum of all costs. */
  cost(): number;
}

function createRequestQueue(
  costOf: (request: SyncRequest) => number,
): RequestQueue {
  const requests: SyncRequest[] = [];
  let cost = 0;
  return {
    add(request) {
      let index = requests.length;
      while (index > 0 && precedes(request, requests[index - 1]!)) index--;
      requests.splice(index, 0, request);
      cost += costOf(request);
    },
    remove(request) {
      const index = requests.indexOf(request);
      if (index < 0) return;
      requests.splice(index, 1);
      cost -= costOf(request);
    },
    first: () => requests[0],
    last: () => requests[requests.length - 1],
    size: () => requests.length,
    cost: () => cost,
  };
}

function precedes(left: SyncRequest, right: SyncRequest): boolean {
  if (left.versionsBehind !== right.versionsBehind)
    return left.versionsBehind > right.versionsBehind;
  return left.cost < right.cost;
}

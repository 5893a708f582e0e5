import type {Subscription, Timers} from '../time/timers.js';
import {emptyDigest, equalDigests, toggle} from './digest.js';
import type {Digest} from './digest.js';
import type {HomeMessage, ServiceDigest} from './messages.js';
import {toKnownInstance} from './record-store.js';
import type {RecordEntry, RecordStore} from './record-store.js';
import {convertSince} from './since-conversion.js';

/** Settings of what a home tells its nodes; times in milliseconds. */
export interface SubscriptionsOptions {
  readonly timers: Timers;
  readonly store: RecordStore;
  /** How long changes that follow another are gathered. */
  readonly deltaWindow: number;
  /** Whether every live instance has had the time to be announced here. */
  readonly isComplete: () => boolean;
}

/** One node, as far as it is told of instances. */
export interface Subscriber {
  /** Sets the services wanted and sends those that differ from `listed`. */
  subscribe(all: boolean, listed: readonly ServiceDigest[]): void;
  /** Sends what is gathered. */
  flush(): void;
  /** The digest of all that it subscribes to. */
  digest(): Digest;
  end(): void;
}

/** Tells nodes of the services that they call. */
export interface Subscriptions {
  /** Adds a node that wants nothing yet. */
  add(send: (message: HomeMessage) => void): Subscriber;
}

interface Taker {
  readonly send: (message: HomeMessage) => void;
  services: ReadonlySet<string> | 'all';
  /** Instances that changed since the last delta. */
  readonly pending: Set<string>;
  flush: Subscription | undefined;
  flushedAt: number;
}

/** Creates what a home tells its nodes; follows the table from then on. */
export function createSubscriptions(
  options: SubscriptionsOptions,
): Subscriptions {
  const {timers, store, deltaWindow: window, isComplete} = options;
  const takers = new Map<string, Set<Taker>>();
  const takersOfAll = new Set<Taker>();

  const onWire = (entry: RecordEntry) => convertSince(toKnownInstance(entry), timers.wall());

  function takersOf(service: string): Set<Taker> {
    const set = takers.get(service) ?? new Set();
    takers.set(service, set);
    return set;
  }

  function unsubscribe(taker: Taker): void {
    takersOfAll.delete(taker);
    if (taker.services === 'all') return;
    for (const service of taker.services) {
      const set = takersOf(service);
      set.delete(taker);
      if (set.size === 0) takers.delete(service);
    }
  }

  function subscribe(
    taker: Taker,
    all: boolean,
    listed: readonly ServiceDigest[],
  ): void {
    unsubscribe(taker);
    taker.services = all ? 'all' : new Set(listed.map(one => one.service));
    if (all) takersOfAll.add(taker);
    else for (const {service} of listed) takersOf(service).add(taker);
    taker.pending.clear();
    const digests = new Map(listed.map(one => [one.service, one.digest]));
    const services = all
      ? new Set([...store.services(), ...digests.keys()])
      : digests.keys();
    for (const service of services) {
      const theirs = digests.get(service) ?? emptyDigest;
      if (equalDigests(theirs, store.serviceDigest(service))) continue;
      sendSection(taker, service);
    }
  }

  function sendSection(taker: Taker, service: string): void {
    const instances = [...store.ofService(service)].map(onWire);
    const complete = isComplete();
    taker.send({kind: 'section', service, complete, instances});
  }

  function digest(taker: Taker): Digest {
    if (taker.services === 'all') return store.viewDigest();
    let sum = emptyDigest;
    for (const service of taker.services) {
      sum = toggle(sum, store.serviceDigest(service));
    }
    return sum;
  }

  function flush(taker: Taker): void {
    taker.flush?.cancel();
    taker.flush = undefined;
    if (taker.pending.size === 0) return;
    const instances = [...taker.pending]
      .map(instance => store.get(instance))
      .filter(entry => entry !== undefined)
      .map(onWire);
    taker.pending.clear();
    taker.flushedAt = timers.now();
    taker.send({kind: 'delta', instances});
  }

  function mark(taker: Taker, instance: string): void {
    taker.pending.add(instance);
    if (taker.flush !== undefined) return;
    // The first change after a quiet time leaves at once, more are gathered.
    const due = taker.flushedAt + window - timers.now();
    taker.flush = timers.after(Math.max(0, due), () => flush(taker));
  }

  /** A service that the instance has left must hear of it as well. */
  function spread(entry: RecordEntry, before: RecordEntry | undefined): void {
    const {instance, service} = entry.announcement;
    const left = before?.announcement.service ?? service;
    for (const taker of takersOfAll) mark(taker, instance);
    for (const taker of takers.get(service) ?? []) mark(taker, instance);
    if (left === service) return;
    for (const taker of takers.get(left) ?? []) mark(taker, instance);
  }

  store.onChange(spread);

  return {
    add(send) {
      const taker: Taker = {
        send,
        services: new Set(),
        pending: new Set(),
        flush: undefined,
        flushedAt: -Infinity,
      };
      return {
        subscribe: (all, listed) => subscribe(taker, all, listed),
        flush: () => flush(taker),
        digest: () => digest(taker),
        end() {
          unsubscribe(taker);
          taker.flush?.cancel();
        },
      };
    },
  };
}

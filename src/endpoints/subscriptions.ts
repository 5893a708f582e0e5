import type {Subscription, Timers} from '../time/timers.js';
import {emptyDigest, equalDigests, toggle} from './digest.js';
import type {Digest} from './digest.js';
import type {HomeMessage, ServiceDigest} from './messages.js';
import {toKnownInstance} from './record-store.js';
import type {RecordEntry, RecordStore} from './record-store.js';
import {convertSince} from './since-conversion.js';

/** Options of `createSubscriptions`; times in milliseconds. */
export interface SubscriptionsOptions {
  readonly timers: Timers;
  readonly store: RecordStore;
  /** Minimum time between two deltas to one node; later changes are batched. */
  readonly deltaWindow: number;
  /** Whether every live instance has had enough time to be announced here. */
  readonly isComplete: () => boolean;
}

/** The subscription of one node. */
export interface NodeSubscription {
  /** Sets the subscribed services and sends those that differ from `listed`. */
  subscribe(all: boolean, listed: readonly ServiceDigest[]): void;
  /** Sends the pending changes. */
  flush(): void;
  /** The digest of all subscribed services. */
  digest(): Digest;
  end(): void;
}

/** Sends nodes the instances of the services that they subscribe to. */
export interface Subscriptions {
  /** Adds a node without subscribed services. */
  add(send: (message: HomeMessage) => void): NodeSubscription;
}

interface NodeSubscriptionState {
  readonly send: (message: HomeMessage) => void;
  services: ReadonlySet<string> | 'all';
  /** Instances that changed since the last delta. */
  readonly pending: Set<string>;
  flush: Subscription | undefined;
  flushedAt: number;
}

/** Creates the subscriptions of a home's nodes; observes the table from then on. */
export function createSubscriptions(
  options: SubscriptionsOptions,
): Subscriptions {
  const {timers, store, deltaWindow, isComplete} = options;
  const byService = new Map<string, Set<NodeSubscriptionState>>();
  const subscribersToAll = new Set<NodeSubscriptionState>();

  const toMessage = (entry: RecordEntry) =>
    convertSince(toKnownInstance(entry), timers.wall());

  function subscribersOf(service: string): Set<NodeSubscriptionState> {
    const set = byService.get(service) ?? new Set();
    byService.set(service, set);
    return set;
  }

  function unsubscribe(subscriber: NodeSubscriptionState): void {
    subscribersToAll.delete(subscriber);
    if (subscriber.services === 'all') return;
    for (const service of subscriber.services) {
      const set = subscribersOf(service);
      set.delete(subscriber);
      if (set.size === 0) byService.delete(service);
    }
  }

  function subscribe(
    subscriber: NodeSubscriptionState,
    all: boolean,
    listed: readonly ServiceDigest[],
  ): void {
    unsubscribe(subscriber);
    subscriber.services = all
      ? 'all'
      : new Set(listed.map(item => item.service));
    if (all) subscribersToAll.add(subscriber);
    else for (const {service} of listed) subscribersOf(service).add(subscriber);
    subscriber.pending.clear();
    const digests = new Map(listed.map(item => [item.service, item.digest]));
    const services = all
      ? new Set([...store.services(), ...digests.keys()])
      : digests.keys();
    for (const service of services) {
      const remote = digests.get(service) ?? emptyDigest;
      if (equalDigests(remote, store.serviceDigest(service))) continue;
      sendSection(subscriber, service);
    }
  }

  function sendSection(
    subscriber: NodeSubscriptionState,
    service: string,
  ): void {
    const instances = [...store.ofService(service)].map(toMessage);
    const complete = isComplete();
    subscriber.send({kind: 'section', service, complete, instances});
  }

  function digest(subscriber: NodeSubscriptionState): Digest {
    if (subscriber.services === 'all') return store.viewDigest();
    let total = emptyDigest;
    for (const service of subscriber.services) {
      total = toggle(total, store.serviceDigest(service));
    }
    return total;
  }

  function flush(subscriber: NodeSubscriptionState): void {
    subscriber.flush?.cancel();
    subscriber.flush = undefined;
    if (subscriber.pending.size === 0) return;
    const instances = [...subscriber.pending]
      .map(instance => store.get(instance))
      .filter(entry => entry !== undefined)
      .map(toMessage);
    subscriber.pending.clear();
    subscriber.flushedAt = timers.now();
    subscriber.send({kind: 'delta', instances});
  }

  function mark(subscriber: NodeSubscriptionState, instance: string): void {
    subscriber.pending.add(instance);
    if (subscriber.flush !== undefined) return;
    // The first change after a quiet period is sent at once, others are batched.
    const delay = subscriber.flushedAt + deltaWindow - timers.now();
    subscriber.flush = timers.after(Math.max(0, delay), () =>
      flush(subscriber),
    );
  }

  /** Marks a change for all subscribers, also those of the instance's old service. */
  function markForSubscribers(
    entry: RecordEntry,
    before: RecordEntry | undefined,
  ): void {
    const {instance, service} = entry.announcement;
    const former = before?.announcement.service ?? service;
    for (const target of subscribersToAll) mark(target, instance);
    for (const target of byService.get(service) ?? []) mark(target, instance);
    if (former === service) return;
    for (const target of byService.get(former) ?? []) mark(target, instance);
  }

  store.onChange(markForSubscribers);

  return {
    add(send) {
      const subscriber: NodeSubscriptionState = {
        send,
        services: new Set(),
        pending: new Set(),
        flush: undefined,
        flushedAt: -Infinity,
      };
      return {
        subscribe: (all, listed) => subscribe(subscriber, all, listed),
        flush: () => flush(subscriber),
        digest: () => digest(subscriber),
        end() {
          unsubscribe(subscriber);
          subscriber.flush?.cancel();
        },
      };
    },
  };
}

import type {Timers} from '../time/timers.js';
import {emptyDigest, equalDigests, toggle} from './digest.js';
import {digestInstance} from './instance-digest.js';
import type {Digest} from './digest.js';
import {allowedExpiries, defaultExpiryShare} from './expiry-share.js';
import type {EndpointView, KnownInstance, ServiceDigest} from './messages.js';
import {compareAnnouncements} from './announcement-order.js';
import {allSafeguards} from './safeguards.js';
import type {Safeguards} from './safeguards.js';

/** Options of `createEndpointTable`; times in milliseconds. */
export interface EndpointTableOptions {
  readonly timers: Timers;
  /** Share of a service's instances that may be absent from a section at once. */
  readonly expiryShare?: number;
  /** How long tombstones of gone instances are kept; default one day. */
  readonly tombstoneRetention?: number;
  /** How long instances that became absent together are kept; default 10 min. */
  readonly absentRetention?: number;
  /** For tests only. */
  readonly safeguards?: Partial<Safeguards>;
}

/** A node's table of instances, merged from the messages of its homes. */
export interface EndpointTable extends EndpointView {
  /** Sets the subscribed services; instances of other services are removed. */
  subscribe(services: readonly string[] | 'all'): void;
  /** Merges instances that changed. */
  mergeDelta(instances: readonly KnownInstance[]): void;
  /** Merges a whole service; `complete` when the home has all its instances. */
  mergeSection(
    service: string,
    complete: boolean,
    instances: readonly KnownInstance[],
  ): void;
  /** The digest of all subscribed services. */
  digest(): Digest;
  serviceDigests(): readonly ServiceDigest[];
  /** Removes entries whose retention time is over. */
  sweep(): void;
  /** The number of instances in the table, including tombstones. */
  size(): number;
}

interface Entry {
  known: KnownInstance;
  /** When this version of the entry was added. */
  at: number;
  /** Absent from its home's section, and kept because too many are absent. */
  absent: boolean;
}

interface ServiceGroup {
  readonly entries: Map<string, Entry>;
  digest: Digest;
  sorted: readonly KnownInstance[] | undefined;
}

const day = 24 * 60 * 60_000;
const defaultAbsentRetention = 10 * 60_000;

/** Creates the instance table of a node. */
export function createEndpointTable(
  options: EndpointTableOptions,
): EndpointTable {
  const {timers} = options;
  const expiryShare = options.expiryShare ?? defaultExpiryShare;
  const tombstoneRetention = options.tombstoneRetention ?? day;
  const absentRetention = options.absentRetention ?? defaultAbsentRetention;
  const safeguards = {...allSafeguards, ...options.safeguards};
  const entries = new Map<string, Entry>();
  const groups = new Map<string, ServiceGroup>();
  const observers: Array<(service: string) => void> = [];
  const changedServices = new Set<string>();
  let subscribed: ReadonlySet<string> | 'all' = 'all';

  const isSubscribed = (service: string) =>
    subscribed === 'all' || subscribed.has(service);

  function groupOf(service: string): ServiceGroup {
    let group = groups.get(service);
    if (group === undefined) {
      group = {entries: new Map(), digest: emptyDigest, sorted: undefined};
      groups.set(service, group);
    }
    return group;
  }

  /** Adds an entry to its service's digest, or removes it from there. */
  function toggleEntry(entry: Entry): void {
    const group = groupOf(entry.known.service);
    if (!entry.absent) {
      group.digest = toggle(group.digest, digestInstance(entry.known));
    }
    group.sorted = undefined;
    changedServices.add(entry.known.service);
  }

  function remove(entry: Entry): void {
    const {service, instance} = entry.known;
    toggleEntry(entry);
    entries.delete(instance);
    const group = groupOf(service);
    group.entries.delete(instance);
    if (group.entries.size === 0) groups.delete(service);
  }

  function add(known: KnownInstance, absent: boolean): void {
    const entry = {known, at: timers.now(), absent};
    entries.set(known.instance, entry);
    groupOf(known.service).entries.set(known.instance, entry);
    toggleEntry(entry);
  }

  function merge(known: KnownInstance): void {
    const existing = entries.get(known.instance);
    if (existing === undefined) {
      if (isSubscribed(known.service)) add(known, false);
      return;
    }
    const comparison = compareAnnouncements(known, existing.known);
    if (comparison < 0 && safeguards.order) return;
    if (comparison === 0 && hasSameFlags(known, existing)) return;
    remove(existing);
    if (isSubscribed(known.service)) add(known, false);
  }

  function notify(): void {
    const services = [...changedServices];
    changedServices.clear();
    for (const service of services) {
      for (const observe of observers) observe(service);
    }
  }

  function findAbsent(
    service: string,
    listed: readonly KnownInstance[],
  ): Entry[] {
    const present = new Set(listed.map(known => known.instance));
    const group = groups.get(service);
    if (group === undefined) return [];
    return [...group.entries.values()].filter(
      entry => isLive(entry) && !present.has(entry.known.instance),
    );
  }

  /**
   * Removes absent instances, or keeps them as suspects when they are more than
   * the expiry share. Otherwise a home that restarted with an empty table would
   * empty its nodes' tables.
   */
  function dropAbsent(service: string, absent: readonly Entry[]): void {
    const live = [...groupOf(service).entries.values()].filter(isLive).length;
    const isKept = absent.length > allowedExpiries(live, expiryShare);
    for (const entry of absent) {
      if (isKept && entry.absent) continue;
      remove(entry);
      if (isKept) add({...entry.known, suspect: true}, true);
    }
  }

  function computeSorted(service: string): readonly KnownInstance[] {
    const group = groups.get(service);
    if (group === undefined) return [];
    group.sorted ??= [...group.entries.values()]
      .filter(isLive)
      .map(entry => entry.known)
      .sort(compareInstanceIds);
    return group.sorted;
  }

  return {
    instances: computeSorted,
    onChange: observe => void observers.push(observe),
    subscribe(services) {
      subscribed = services === 'all' ? 'all' : new Set(services);
      for (const entry of [...entries.values()]) {
        if (!isSubscribed(entry.known.service)) remove(entry);
      }
      notify();
    },
    mergeDelta(instances) {
      for (const known of instances) merge(known);
      notify();
    },
    mergeSection(service, complete, instances) {
      for (const known of instances) merge(known);
      if (complete) dropAbsent(service, findAbsent(service, instances));
      notify();
    },
    digest() {
      let total = emptyDigest;
      for (const group of groups.values()) total = toggle(total, group.digest);
      return total;
    },
    serviceDigests() {
      const all: ServiceDigest[] = [];
      for (const [service, group] of groups) {
        if (equalDigests(group.digest, emptyDigest)) continue;
        all.push({service, digest: group.digest});
      }
      return all;
    },
    sweep() {
      const now = timers.now();
      for (const entry of [...entries.values()]) {
        const age = now - entry.at;
        const isTombstoneOver = !isLive(entry) && age >= tombstoneRetention;
        const isAbsenceOver = entry.absent && age >= absentRetention;
        if (isTombstoneOver || isAbsenceOver) remove(entry);
      }
      notify();
    },
    size: () => entries.size,
  };
}

function isLive(entry: Entry): boolean {
  return entry.known.state !== 'gone';
}

function hasSameFlags(known: KnownInstance, entry: Entry): boolean {
  if (entry.absent) return false;
  return (known.suspect ?? false) === (entry.known.suspect ?? false);
}

function compareInstanceIds(left: KnownInstance, right: KnownInstance): number {
  return left.instance < right.instance ? -1 : 1;
}

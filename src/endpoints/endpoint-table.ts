import type {Timers} from '../time/timers.js';
import {emptyDigest, equalDigests, toggle} from './digest.js';
import {digestInstance} from './instance-digest.js';
import type {Digest} from './digest.js';
import {allowedExpiries, defaultExpiryShare} from './expiry-share.js';
import type {EndpointView, KnownInstance, ServiceDigest} from './messages.js';
import {compareAnnouncements} from './announcement-order.js';
import {allSafeguards} from './safeguards.js';
import type {Safeguards} from './safeguards.js';

/** Settings of a node's table. */
export interface EndpointTableOptions {
  readonly timers: Timers;
  /** Share of a service that may vanish from a section at once. */
  readonly expiryShare?: number;
  /** Milliseconds for which a gone instance is remembered. */
  readonly tombstoneRetention?: number;
  /** Milliseconds for which instances that vanished together are kept. */
  readonly absentRetention?: number;
  /** For tests only. */
  readonly safeguards?: Partial<Safeguards>;
}

/** What a node knows of instances, merged from whatever home it has. */
export interface EndpointTable extends EndpointView {
  /** Sets the services wanted; instances of others are forgotten. */
  subscribe(services: readonly string[] | 'all'): void;
  /** Takes instances that changed. */
  mergeDelta(instances: readonly KnownInstance[]): void;
  /** Takes a whole service; `complete` when the home knows all of it. */
  mergeSection(
    service: string,
    complete: boolean,
    instances: readonly KnownInstance[],
  ): void;
  /** The digest of all services subscribed to. */
  digest(): Digest;
  serviceDigests(): readonly ServiceDigest[];
  /** Drops what was kept long enough. */
  sweep(): void;
  /** How many instances it holds, tombstones included. */
  size(): number;
}

interface Entry {
  known: KnownInstance;
  /** When it became gone, or missing from a section. */
  at: number;
  /** Missing from its home's section, and kept because too many are. */
  absent: boolean;
}

interface Group {
  readonly entries: Map<string, Entry>;
  digest: Digest;
  sorted: readonly KnownInstance[] | undefined;
}

const day = 24 * 60 * 60_000;
const defaultAbsentRetention = 10 * 60_000;

/** Creates the table of a node. */
export function createEndpointTable(
  options: EndpointTableOptions,
): EndpointTable {
  const {timers} = options;
  const share = options.expiryShare ?? defaultExpiryShare;
  const tombstoneRetention = options.tombstoneRetention ?? day;
  const absentRetention = options.absentRetention ?? defaultAbsentRetention;
  const safeguards = {...allSafeguards, ...options.safeguards};
  const entries = new Map<string, Entry>();
  const groups = new Map<string, Group>();
  const observers: Array<(service: string) => void> = [];
  const changed = new Set<string>();
  let wanted: ReadonlySet<string> | 'all' = 'all';

  const isWanted = (service: string) => wanted === 'all' || wanted.has(service);

  function groupOf(service: string): Group {
    let group = groups.get(service);
    if (group === undefined) {
      group = {entries: new Map(), digest: emptyDigest, sorted: undefined};
      groups.set(service, group);
    }
    return group;
  }

  /** Counts an entry into its service's digest, or out of it. */
  function toggleEntry(entry: Entry): void {
    const group = groupOf(entry.known.service);
    if (!entry.absent) {
      group.digest = toggle(group.digest, digestInstance(entry.known));
    }
    group.sorted = undefined;
    changed.add(entry.known.service);
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
    const held = entries.get(known.instance);
    if (held === undefined) {
      if (isWanted(known.service)) add(known, false);
      return;
    }
    const order = compareAnnouncements(known, held.known);
    if (order < 0 && safeguards.order) return;
    if (order === 0 && sameFlags(known, held)) return;
    remove(held);
    if (isWanted(known.service)) add(known, false);
  }

  function notify(): void {
    const services = [...changed];
    changed.clear();
    for (const service of services) {
      for (const observe of observers) observe(service);
    }
  }

  function missing(service: string, listed: readonly KnownInstance[]): Entry[] {
    const present = new Set(listed.map(known => known.instance));
    const group = groups.get(service);
    if (group === undefined) return [];
    return [...group.entries.values()].filter(
      entry => isLive(entry) && !present.has(entry.known.instance),
    );
  }

  /**
   * A home whose table has come back empty would otherwise empty its nodes'
   * tables: beyond the share the instances are kept and called suspect.
   */
  function drop(service: string, absent: readonly Entry[]): void {
    const live = [...groupOf(service).entries.values()].filter(isLive).length;
    const held = absent.length > allowedExpiries(live, share);
    for (const entry of absent) {
      if (held && entry.absent) continue;
      remove(entry);
      if (held) add({...entry.known, suspect: true}, true);
    }
  }

  function computeSorted(service: string): readonly KnownInstance[] {
    const group = groups.get(service);
    if (group === undefined) return [];
    group.sorted ??= [...group.entries.values()]
      .filter(isLive)
      .map(entry => entry.known)
      .sort(byInstance);
    return group.sorted;
  }

  return {
    instances: computeSorted,
    onChange: observe => void observers.push(observe),
    subscribe(services) {
      wanted = services === 'all' ? 'all' : new Set(services);
      for (const entry of [...entries.values()]) {
        if (!isWanted(entry.known.service)) remove(entry);
      }
      notify();
    },
    mergeDelta(instances) {
      for (const known of instances) merge(known);
      notify();
    },
    mergeSection(service, complete, instances) {
      for (const known of instances) merge(known);
      if (complete) drop(service, missing(service, instances));
      notify();
    },
    digest() {
      let sum = emptyDigest;
      for (const group of groups.values()) sum = toggle(sum, group.digest);
      return sum;
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
        const gone = !isLive(entry) && age >= tombstoneRetention;
        const lost = entry.absent && age >= absentRetention;
        if (gone || lost) remove(entry);
      }
      notify();
    },
    size: () => entries.size,
  };
}

function isLive(entry: Entry): boolean {
  return entry.known.state !== 'gone';
}

function sameFlags(known: KnownInstance, entry: Entry): boolean {
  if (entry.absent) return false;
  return (known.suspect ?? false) === (entry.known.suspect ?? false);
}

function byInstance(left: KnownInstance, right: KnownInstance): number {
  return left.instance < right.instance ? -1 : 1;
}

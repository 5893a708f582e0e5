import murmurhash from 'murmurhash';
import type {Timers} from '../time/timers.js';
import {digestText, emptyDigest, toggle} from './digest.js';
import {digestInstance} from './instance-digest.js';
import type {Digest} from './digest.js';
import type {
  Announcement,
  EndpointRecord,
  KnownInstance,
  RecordSummary,
} from './messages.js';
import {isNewer} from './announcement-order.js';
import type {Safeguards} from './safeguards.js';

/** One instance in a home's table. */
export interface RecordEntry {
  readonly announcement: Announcement;
  readonly home: string;
  readonly homeRegion: string;
  readonly expired: boolean;
  /** When it became gone, by this home's clock; undefined while it is live. */
  readonly goneAt: number | undefined;
  /** Whether this home suspects the instance; not replicated to other homes. */
  suspect: boolean;
  /** Whether the table digests include it; old tombstones are excluded. */
  inDigests: boolean;
}

/** Called on a change of one entry; `before` is undefined for a new one. */
export type RecordObserver = (
  entry: RecordEntry,
  before: RecordEntry | undefined,
) => void;

/** A home's copy of the replicated table of instances. */
export interface RecordStore {
  get(instance: string): RecordEntry | undefined;
  entries(): IterableIterator<RecordEntry>;
  ofService(service: string): Iterable<RecordEntry>;
  services(): IterableIterator<string>;
  /** Live entries with this gate address. */
  liveAtGate(gate: string): readonly RecordEntry[];
  /** Stores a record if it is newer than the present one; false if it is not. */
  merge(record: EndpointRecord): boolean;
  setSuspect(instance: string, suspect: boolean): void;
  /** Removes tombstones whose retention time is over. */
  sweep(): void;
  /** The record of an entry as it is sent to other homes. */
  record(entry: RecordEntry): EndpointRecord;
  /** The digest of the whole table. */
  root(): Digest;
  /** The digests of all buckets, alternating low and high parts. */
  bucketDigests(): number[];
  /** The record versions in some buckets. */
  summaries(buckets: readonly number[]): RecordSummary[];
  bucketOf(service: string): number;
  /** The digest of a service's live instances in the nodes' view. */
  serviceDigest(service: string): Digest;
  /** The digest of all services in the nodes' view. */
  viewDigest(): Digest;
  onChange(observe: RecordObserver): void;
  size(): number;
  /** Live instances, suspects included. */
  liveCount(): number;
}

/** Options of `createRecordStore`. */
export interface RecordStoreOptions {
  readonly timers: Timers;
  /** Milliseconds for which a tombstone is kept. */
  readonly tombstoneRetention: number;
  /** Maximum number of instances, including tombstones. */
  readonly limit: number;
  readonly safeguards: Safeguards;
}

/** Services are hashed into this many buckets, whose digests homes compare. */
const bucketCount = 256;

interface ServiceGroup {
  readonly entries: Map<string, RecordEntry>;
  digest: Digest;
}

/** Creates an empty table. */
export function createRecordStore(options: RecordStoreOptions): RecordStore {
  const {timers, tombstoneRetention, limit} = options;
  // A tombstone is excluded from the digests after half its retention time.
  // Otherwise homes that remove it some seconds apart would send it back to each
  // other forever.
  const inDigestsFor = tombstoneRetention / 2;
  const entries = new Map<string, RecordEntry>();
  const groups = new Map<string, ServiceGroup>();
  const instancesByGate = new Map<string, Set<string>>();
  const instancesByBucket = Array.from(
    {length: bucketCount},
    () => new Set<string>(),
  );
  const buckets: Digest[] = instancesByBucket.map(() => emptyDigest);
  const observers: RecordObserver[] = [];
  let root = emptyDigest;
  let viewDigest = emptyDigest;
  let liveCount = 0;

  function toggleInDigests(entry: RecordEntry): void {
    const digest = digestEntry(entry);
    const bucket = bucketOf(entry.announcement.service);
    buckets[bucket] = toggle(buckets[bucket]!, digest);
    root = toggle(root, digest);
  }

  function toggleInView(entry: RecordEntry): void {
    const group = groups.get(entry.announcement.service)!;
    const digest = digestInstance(toKnownInstance(entry));
    group.digest = toggle(group.digest, digest);
    viewDigest = toggle(viewDigest, digest);
  }

  function add(entry: RecordEntry): void {
    const {instance, service, gate} = entry.announcement;
    entries.set(instance, entry);
    let group = groups.get(service);
    if (group === undefined) {
      group = {entries: new Map(), digest: emptyDigest};
      groups.set(service, group);
    }
    group.entries.set(instance, entry);
    instancesByBucket[bucketOf(service)]!.add(instance);
    if (entry.goneAt === undefined) addLive(gate, instance);
    if (entry.inDigests) toggleInDigests(entry);
    toggleInView(entry);
  }

  function remove(entry: RecordEntry): void {
    const {instance, service, gate} = entry.announcement;
    toggleInView(entry);
    if (entry.inDigests) toggleInDigests(entry);
    if (entry.goneAt === undefined) removeLive(gate, instance);
    entries.delete(instance);
    instancesByBucket[bucketOf(service)]!.delete(instance);
    const group = groups.get(service)!;
    group.entries.delete(instance);
    if (group.entries.size === 0) groups.delete(service);
  }

  function addLive(gate: string, instance: string): void {
    liveCount++;
    const set = instancesByGate.get(gate) ?? new Set();
    instancesByGate.set(gate, set.add(instance));
  }

  function removeLive(gate: string, instance: string): void {
    liveCount--;
    const set = instancesByGate.get(gate)!;
    set.delete(instance);
    if (set.size === 0) instancesByGate.delete(gate);
  }

  function createEntry(record: EndpointRecord): RecordEntry {
    const gone = record.announcement.state === 'gone';
    return {
      announcement: record.announcement,
      home: record.home,
      homeRegion: record.homeRegion,
      expired: record.expired,
      goneAt: gone ? timers.now() - record.goneFor : undefined,
      suspect: false,
      inDigests: !gone || record.goneFor < inDigestsFor,
    };
  }

  function merge(record: EndpointRecord): boolean {
    const {announcement} = record;
    const before = entries.get(announcement.instance);
    if (before && isStale(announcement, before.announcement)) return false;
    if (before === undefined && entries.size >= limit) return false;
    const entry = createEntry(record);
    if (before !== undefined) remove(before);
    add(entry);
    for (const observe of observers) observe(entry, before);
    return true;
  }

  /**
   * Whether an announcement is not newer than the stored one. Records arrive out
   * of order through several homes; if the last one won, an instance that is gone
   * would reappear and be sent requests.
   */
  function isStale(next: Announcement, existing: Announcement): boolean {
    return options.safeguards.order && !isNewer(next, existing);
  }

  function sweep(): void {
    const now = timers.now();
    for (const entry of entries.values()) {
      if (entry.goneAt === undefined) continue;
      const age = now - entry.goneAt;
      if (entry.inDigests && age >= inDigestsFor) {
        toggleInDigests(entry);
        entry.inDigests = false;
      }
      if (age >= tombstoneRetention) remove(entry);
    }
  }

  function setSuspect(instance: string, suspect: boolean): void {
    const entry = entries.get(instance);
    if (entry === undefined || entry.suspect === suspect) return;
    toggleInView(entry);
    entry.suspect = suspect;
    toggleInView(entry);
    for (const observe of observers) observe(entry, entry);
  }

  return {
    get: instance => entries.get(instance),
    entries: () => entries.values(),
    ofService: service => groups.get(service)?.entries.values() ?? [],
    services: () => groups.keys(),
    liveAtGate: gate =>
      [...(instancesByGate.get(gate) ?? [])].map(instance =>
        entries.get(instance)!,
      ),
    merge,
    setSuspect,
    sweep,
    record: entry => ({
      announcement: entry.announcement,
      home: entry.home,
      homeRegion: entry.homeRegion,
      expired: entry.expired,
      goneFor: entry.goneAt === undefined ? 0 : timers.now() - entry.goneAt,
    }),
    root: () => root,
    bucketDigests: () => buckets.flatMap(({low, high}) => [low, high]),
    summaries: wanted =>
      wanted.flatMap(bucket =>
        [...instancesByBucket[bucket]!]
          .map(instance => entries.get(instance)!)
          .filter(entry => entry.inDigests)
          .map(summarize),
      ),
    bucketOf,
    serviceDigest: service => groups.get(service)?.digest ?? emptyDigest,
    viewDigest: () => viewDigest,
    onChange: observe => void observers.push(observe),
    size: () => entries.size,
    liveCount: () => liveCount,
  };
}

/** The form of an entry that is sent to nodes. */
export function toKnownInstance(entry: RecordEntry): KnownInstance {
  if (!entry.suspect) return entry.announcement;
  return {...entry.announcement, suspect: true};
}

function bucketOf(service: string): number {
  return murmurhash.v3(service) % bucketCount;
}

function digestEntry(entry: RecordEntry): Digest {
  const {instance, incarnation, sequence, gate} = entry.announcement;
  const goneSuffix = entry.goneAt === undefined ? '' : 'g';
  return digestText(
    `${instance} ${incarnation} ${sequence} ${gate}${goneSuffix}`,
  );
}

function summarize(entry: RecordEntry): RecordSummary {
  const {instance, incarnation, sequence} = entry.announcement;
  const gone = entry.goneAt !== undefined;
  return {instance, incarnation, sequence, gone};
}

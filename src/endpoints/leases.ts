import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {allowedExpiries, defaultExpiryShare} from './expiry-share.js';
import type {EndpointRecord} from './messages.js';
import type {PeerHomes, UnreachableReport} from './peer-homes.js';
import type {RecordEntry, RecordStore} from './record-store.js';
import type {Safeguards} from './safeguards.js';

/** Options of `createLeases`; times in milliseconds, see `RegistryOptions`. */
export interface LeasesOptions {
  readonly name: string;
  readonly region: string;
  readonly timers: Timers;
  readonly log: Log;
  readonly store: RecordStore;
  readonly peers: PeerHomes;
  readonly lease: number;
  readonly closedLinkLease: number;
  readonly orphanLease: number;
  readonly expiryShare?: number;
  readonly expiryWindow?: number;
  readonly requiredWitnesses?: number;
  readonly contestLease: number;
  readonly safeguards: Safeguards;
}

/** Decides when an instance without renewals counts as gone. */
export interface Leases {
  /** Renews the lease of an instance attached to this home. */
  renew(instance: string): void;
  /** Shortens the lease of an instance whose node's link has closed. */
  onLinkClosed(instance: string): void;
  /** Counts a node's report against an instance that is a suspect. */
  witness(report: UnreachableReport): void;
  /**
   * Shortens the lease because another process announces the instance's id or
   * gate. Unless its node renews within the contest lease, the instance is gone,
   * however many other leases have expired.
   */
  contest(instance: string): void;
  /** Expires instances whose leases have ended, or marks them as suspects. */
  sweep(): void;
}

const defaultExpiryWindow = 60_000;
const defaultWitnesses = 2;
/** Milliseconds for which a node's report counts. */
const reportLifetime = 30_000;
/** Number of expiries over all services together that is always accepted. */
const alwaysAllowedExpiries = 8;

/** Creates a home's leases. */
export function createLeases(options: LeasesOptions): Leases {
  const {name, region, timers, store, peers} = options;
  const expiryShare = options.expiryShare ?? defaultExpiryShare;
  const expiryWindow = options.expiryWindow ?? defaultExpiryWindow;
  const requiredWitnesses = options.requiredWitnesses ?? defaultWitnesses;
  /** When the lease of each instance attached to this home ends. */
  const expiresAt = new Map<string, number>();
  /** When each node last reported each instance as unreachable. */
  const reportsByInstance = new Map<string, Map<string, number>>();
  /** When the contest lease of each contested instance ends. */
  const contested = new Map<string, number>();

  /** Whether the lease of an instance has expired, as far as this home can tell. */
  function isExpired(entry: RecordEntry): boolean {
    const {instance} = entry.announcement;
    if (entry.home === name) return isLocalLeaseExpired(instance);
    if (peers.linked(entry.home)) {
      contested.delete(instance);
      return false;
    }
    const unreachableFor = peers.unreachableFor(entry.home);
    if (isContestLost(instance)) return unreachableFor >= options.contestLease;
    return unreachableFor >= options.orphanLease;
  }

  /**
   * Whether a lease at this home has expired. A record that names this home but
   * has no lease here dates from before a restart of this home; its node gets an
   * orphan lease to attach again.
   */
  function isLocalLeaseExpired(instance: string): boolean {
    const end = expiresAt.get(instance);
    if (isContestLost(instance)) return true;
    if (end !== undefined) return end <= timers.now();
    expiresAt.set(instance, timers.now() + options.orphanLease);
    return false;
  }

  /**
   * Whether this home may declare an instance gone. Only homes of its own region
   * may; while that region is cut off, its instances are only suspects here, so
   * that none is lost when the regions reconnect.
   */
  const mayExpire = (entry: RecordEntry) =>
    entry.homeRegion === region || !options.safeguards.region;

  /** Whether an instance was contested and has not renewed in time. */
  function isContestLost(instance: string): boolean {
    const end = contested.get(instance);
    return end !== undefined && end <= timers.now();
  }

  const isHeldElsewhere = (entry: RecordEntry) =>
    entry.home !== name && peers.linked(entry.home);

  function contest(instance: string): void {
    const entry = store.get(instance);
    if (!options.safeguards.contest) return;
    if (entry === undefined || entry.goneAt !== undefined) return;
    if (isHeldElsewhere(entry)) peers.contest(entry.home, instance);
    else if (!contested.has(instance)) {
      contested.set(instance, timers.now() + options.contestLease);
    }
  }

  /**
   * Contests all instances at the entry's gate when there are several. One process
   * binds an address, so at most one of them is alive.
   */
  function contestGate(entry: RecordEntry): void {
    if (entry.goneAt !== undefined) return;
    const rivals = store.liveAtGate(entry.announcement.gate);
    if (rivals.length < 2) return;
    for (const rival of rivals) {
      if (!isHeldElsewhere(rival)) contest(rival.announcement.instance);
    }
  }

  function expire(entry: RecordEntry): void {
    const {announcement} = entry;
    const record: EndpointRecord = {
      announcement: {...announcement, state: 'gone'},
      home: entry.home,
      homeRegion: entry.homeRegion,
      expired: true,
      goneFor: 0,
    };
    expiresAt.delete(announcement.instance);
    contested.delete(announcement.instance);
    reportsByInstance.delete(announcement.instance);
    options.log.info('lease ran out', {
      instance: announcement.instance,
      service: announcement.service,
    });
    if (store.merge(record)) peers.push([record]);
  }

  function recentlyExpired(entries: Iterable<RecordEntry>): number {
    const since = timers.now() - expiryWindow;
    let count = 0;
    for (const entry of entries) {
      if (entry.goneAt === undefined || !mayExpire(entry)) continue;
      if (entry.expired && entry.goneAt > since) count++;
    }
    return count;
  }

  function countLive(entries: Iterable<RecordEntry>): number {
    let count = 0;
    for (const entry of entries) {
      if (entry.goneAt === undefined && mayExpire(entry)) count++;
    }
    return count;
  }

  /**
   * Whether too many leases of a service expire together. It is then more likely
   * that renewals are lost than that all these instances crashed, and removing
   * them could leave callers without any. They are kept as suspects, and the
   * nodes' own connections decide.
   */
  function isMassExpiry(service: string, expired: number): boolean {
    const recent = recentlyExpired(store.ofService(service));
    const total = countLive(store.ofService(service)) + recent;
    return expired + recent > allowedExpiries(total, expiryShare);
  }

  /** The same for all services together, as each may have only one instance. */
  function isGlobalMassExpiry(expired: number): boolean {
    const recent = recentlyExpired(store.entries());
    const allowed = (countLive(store.entries()) + recent) * expiryShare;
    return expired + recent > Math.max(alwaysAllowedExpiries, allowed);
  }

  function collectExpired(): RecordEntry[] {
    const expired: RecordEntry[] = [];
    for (const entry of store.entries()) {
      if (entry.goneAt !== undefined) continue;
      if (isExpired(entry)) expired.push(entry);
      else store.setSuspect(entry.announcement.instance, false);
    }
    return expired;
  }

  function sweep(): void {
    const unproved: RecordEntry[] = [];
    for (const entry of collectExpired()) {
      if (!mayExpire(entry)) markSuspect(entry);
      else if (hasProof(entry)) expire(entry);
      else unproved.push(entry);
    }
    if (unproved.length > 0) expireOrSuspect(unproved);
    dropOldReports();
  }

  /** Expires instances service by service, or keeps them as suspects. */
  function expireOrSuspect(unproved: readonly RecordEntry[]): void {
    const counts = new Map<string, number>();
    for (const {announcement} of unproved) {
      const {service} = announcement;
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    const isGlobal = isGlobalMassExpiry(unproved.length);
    const heldServices = new Set<string>();
    for (const [service, count] of counts) {
      if (isGlobal || isMassExpiry(service, count)) heldServices.add(service);
    }
    for (const entry of unproved) {
      if (heldServices.has(entry.announcement.service)) markSuspect(entry);
      else expire(entry);
    }
  }

  const markSuspect = (entry: RecordEntry) =>
    store.setSuspect(entry.announcement.instance, true);

  /** Whether there is more evidence against an instance than missing renewals. */
  function hasProof(entry: RecordEntry): boolean {
    const {instance} = entry.announcement;
    return isContestLost(instance) || isWitnessed(entry);
  }

  function isWitnessed(entry: RecordEntry): boolean {
    const times = reportsByInstance.get(entry.announcement.instance);
    return times !== undefined && times.size >= requiredWitnesses;
  }

  function dropOldReports(): void {
    const since = timers.now() - reportLifetime;
    for (const [instance, times] of reportsByInstance) {
      for (const [witness, at] of times) if (at < since) times.delete(witness);
      if (times.size === 0) reportsByInstance.delete(instance);
    }
  }

  function witness(report: UnreachableReport): void {
    const entry = store.get(report.instance);
    if (entry === undefined || entry.goneAt !== undefined) return;
    if (entry.announcement.incarnation !== report.incarnation) return;
    if (isHeldElsewhere(entry)) {
      peers.report(entry.home, report);
      return;
    }
    if (!entry.suspect) return;
    const times =
      reportsByInstance.get(report.instance) ?? new Map<string, number>();
    times.set(report.witness, timers.now());
    reportsByInstance.set(report.instance, times);
  }

  function shorten(instance: string, duration: number): void {
    const end = expiresAt.get(instance);
    if (end === undefined) return;
    expiresAt.set(instance, Math.min(end, timers.now() + duration));
  }

  store.onChange((entry, before) => {
    if (entry === before) return;
    const {instance} = entry.announcement;
    contested.delete(instance);
    if (entry.home !== name || entry.goneAt !== undefined) {
      expiresAt.delete(instance);
    }
    contestGate(entry);
  });

  return {
    renew(instance) {
      if (store.get(instance)?.home !== name) return;
      expiresAt.set(instance, timers.now() + options.lease);
      contested.delete(instance);
      store.setSuspect(instance, false);
    },
    onLinkClosed: instance => shorten(instance, options.closedLinkLease),
    witness,
    contest,
    sweep,
  };
}

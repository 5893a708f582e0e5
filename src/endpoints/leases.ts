import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {allowedExpiries, defaultExpiryShare} from './expiry-share.js';
import type {EndpointRecord} from './messages.js';
import type {PeerHomes, UnreachableReport} from './peer-homes.js';
import type {RecordEntry, RecordStore} from './record-store.js';
import type {Safeguards} from './safeguards.js';

/** Settings of a home's leases; times in milliseconds. */
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

/** Decides when an instance that is no longer heard of counts as gone. */
export interface Leases {
  /** Renews the lease of an instance that this home holds. */
  renew(instance: string): void;
  /** Shortens the lease of an instance whose node's link has closed. */
  onLinkClosed(instance: string): void;
  /** Counts a node's evidence against an instance that is held back. */
  witness(report: UnreachableReport): void;
  /**
   * Another process claims the instance's id or gate: unless its node renews
   * within the contest's lease it is gone, however many others are due.
   */
  contest(instance: string): void;
  /** Expires, or holds back, what is due. */
  sweep(): void;
}

const defaultExpiryWindow = 60_000;
const defaultWitnesses = 2;
/** Milliseconds for which a node's report counts. */
const reportLifetime = 30_000;
/** Expiries of all services together that are always believed. */
const smallHerd = 8;

/** Creates a home's leases. */
export function createLeases(options: LeasesOptions): Leases {
  const {name, region, timers, store, peers} = options;
  const share = options.expiryShare ?? defaultExpiryShare;
  const window = options.expiryWindow ?? defaultExpiryWindow;
  const witnesses = options.requiredWitnesses ?? defaultWitnesses;
  const until = new Map<string, number>();
  const reports = new Map<string, Map<string, number>>();
  /** When the lease of a contested instance ends. */
  const contested = new Map<string, number>();

  /** Whether an instance has run out, by what this home can know. */
  function isDue(entry: RecordEntry): boolean {
    const {instance} = entry.announcement;
    if (entry.home === name) return isOwnDue(instance);
    if (peers.linked(entry.home)) {
      contested.delete(instance);
      return false;
    }
    const absence = peers.unreachableFor(entry.home);
    if (isContestOver(instance)) return absence >= options.contestLease;
    return absence >= options.orphanLease;
  }

  /**
   * A record that names this home, which does not hold it, dates from before
   * a restart of this home. Its node gets an orphan's time to come back.
   */
  function isOwnDue(instance: string): boolean {
    const end = until.get(instance);
    if (isContestOver(instance)) return true;
    if (end !== undefined) return end <= timers.now();
    until.set(instance, timers.now() + options.orphanLease);
    return false;
  }

  /**
   * Another region's instances are that region's to declare gone. While it is
   * cut off they are only suspects here, so the merge takes none away.
   */
  const mayExpire = (entry: RecordEntry) =>
    entry.homeRegion === region || !options.safeguards.region;

  function isContestOver(instance: string): boolean {
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

  /** One process binds an address, so of two instances at a gate one is dead. */
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
    until.delete(announcement.instance);
    contested.delete(announcement.instance);
    reports.delete(announcement.instance);
    options.log.info('lease ran out', {
      instance: announcement.instance,
      service: announcement.service,
    });
    if (store.merge(record)) peers.push([record]);
  }

  function recentlyExpired(entries: Iterable<RecordEntry>): number {
    const since = timers.now() - window;
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
   * When many leases run out together it is more likely that renewals are
   * lost than that so many instances died at once. Taking them all away would
   * leave callers with none. They are kept as suspects, and the nodes' own
   * connections decide.
   */
  function isMass(service: string, due: number): boolean {
    const recent = recentlyExpired(store.ofService(service));
    const total = countLive(store.ofService(service)) + recent;
    return due + recent > allowedExpiries(total, share);
  }

  /** The same for all services together, which may have one instance each. */
  function isHerd(due: number): boolean {
    const recent = recentlyExpired(store.entries());
    const allowed = (countLive(store.entries()) + recent) * share;
    return due + recent > Math.max(smallHerd, allowed);
  }

  function collectDue(): RecordEntry[] {
    const due: RecordEntry[] = [];
    for (const entry of store.entries()) {
      if (entry.goneAt !== undefined) continue;
      if (isDue(entry)) due.push(entry);
      else store.setSuspect(entry.announcement.instance, false);
    }
    return due;
  }

  function sweep(): void {
    const doubtful: RecordEntry[] = [];
    for (const entry of collectDue()) {
      if (!mayExpire(entry)) suspect(entry);
      else if (isProved(entry)) expire(entry);
      else doubtful.push(entry);
    }
    if (doubtful.length > 0) settle(doubtful);
    forgetReports();
  }

  /** Expires what is due, service by service, or holds it back as suspect. */
  function settle(doubtful: readonly RecordEntry[]): void {
    const counts = new Map<string, number>();
    for (const {announcement} of doubtful) {
      const {service} = announcement;
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    const herd = isHerd(doubtful.length);
    const held = new Set<string>();
    for (const [service, count] of counts) {
      if (herd || isMass(service, count)) held.add(service);
    }
    for (const entry of doubtful) {
      if (held.has(entry.announcement.service)) suspect(entry);
      else expire(entry);
    }
  }

  const suspect = (entry: RecordEntry) =>
    store.setSuspect(entry.announcement.instance, true);

  /** Whether more than lost renewals speak against an instance that is due. */
  function isProved(entry: RecordEntry): boolean {
    const {instance} = entry.announcement;
    return isContestOver(instance) || isWitnessed(entry);
  }

  function isWitnessed(entry: RecordEntry): boolean {
    const heard = reports.get(entry.announcement.instance);
    return heard !== undefined && heard.size >= witnesses;
  }

  function forgetReports(): void {
    const since = timers.now() - reportLifetime;
    for (const [instance, heard] of reports) {
      for (const [witness, at] of heard) if (at < since) heard.delete(witness);
      if (heard.size === 0) reports.delete(instance);
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
    const heard = reports.get(report.instance) ?? new Map<string, number>();
    heard.set(report.witness, timers.now());
    reports.set(report.instance, heard);
  }

  function shorten(instance: string, left: number): void {
    const end = until.get(instance);
    if (end === undefined) return;
    until.set(instance, Math.min(end, timers.now() + left));
  }

  store.onChange((entry, before) => {
    if (entry === before) return;
    const {instance} = entry.announcement;
    contested.delete(instance);
    if (entry.home !== name || entry.goneAt !== undefined) {
      until.delete(instance);
    }
    contestGate(entry);
  });

  return {
    renew(instance) {
      if (store.get(instance)?.home !== name) return;
      until.set(instance, timers.now() + options.lease);
      contested.delete(instance);
      store.setSuspect(instance, false);
    },
    onLinkClosed: instance => shorten(instance, options.closedLinkLease),
    witness,
    contest,
    sweep,
  };
}

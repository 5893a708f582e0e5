import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {allowedExpiries, defaultExpiryShare} from './expiry-share.js';
import type {EndpointRecord} from './messages.js';
import type {Peers, Report} from './peers.js';
import type {Entry, RecordStore} from './record-store.js';

/** Settings of a home's leases; times in milliseconds. */
export interface LeasesOptions {
  readonly name: string;
  readonly region: string;
  readonly timers: Timers;
  readonly log: Log;
  readonly store: RecordStore;
  readonly peers: Peers;
  readonly lease: number;
  readonly closedLease: number;
  readonly orphanLease: number;
  readonly expiryShare?: number;
  readonly expiryWindow?: number;
  readonly witnesses?: number;
}

/** Decides when an instance that is no longer heard of counts as gone. */
export interface Leases {
  /** Renews the lease of an instance that this home holds. */
  renew(instance: string): void;
  /** Shortens the lease of an instance whose node's link has closed. */
  closed(instance: string): void;
  /** Counts a node's evidence against an instance that is held back. */
  witness(report: Report): void;
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
  const witnesses = options.witnesses ?? defaultWitnesses;
  const until = new Map<string, number>();
  const reports = new Map<string, Map<string, number>>();

  /** Whether an instance has run out, by what this home can know. */
  function isDue(entry: Entry): boolean {
    if (entry.goneAt !== undefined) return false;
    if (entry.home === name) return isOwnDue(entry.announcement.instance);
    if (peers.linked(entry.home)) return false;
    return peers.absence(entry.home) >= options.orphanLease;
  }

  /**
   * A record that names this home, which does not hold it, dates from before
   * a restart of this home. Its node gets an orphan's time to come back.
   */
  function isOwnDue(instance: string): boolean {
    const end = until.get(instance);
    if (end !== undefined) return end <= timers.now();
    until.set(instance, timers.now() + options.orphanLease);
    return false;
  }

  /**
   * Another region's instances are that region's to declare gone. While it is
   * cut off they are only suspects here, so the merge takes none away.
   */
  const mayExpire = (entry: Entry) => entry.homeRegion === region;

  function expire(entry: Entry): void {
    const {announcement} = entry;
    const record: EndpointRecord = {
      announcement: {...announcement, state: 'gone'},
      home: entry.home,
      homeRegion: entry.homeRegion,
      expired: true,
      goneFor: 0,
    };
    until.delete(announcement.instance);
    reports.delete(announcement.instance);
    options.log.info('lease ran out', {
      instance: announcement.instance,
      service: announcement.service,
    });
    if (store.merge(record)) peers.push([record]);
  }

  function recentlyExpired(entries: Iterable<Entry>): number {
    const since = timers.now() - window;
    let count = 0;
    for (const entry of entries) {
      if (entry.expired && entry.goneAt !== undefined && entry.goneAt > since) {
        count++;
      }
    }
    return count;
  }

  function countLive(service: string): number {
    let count = 0;
    for (const entry of store.ofService(service)) {
      if (entry.goneAt === undefined) count++;
    }
    return count;
  }

  /**
   * When many leases run out together it is more likely that renewals are
   * lost than that so many instances died at once. Taking them all away would
   * leave callers with none. They are kept as suspects, and the nodes' own
   * connections decide.
   */
  function isMass(service: string, due: readonly Entry[]): boolean {
    const recent = recentlyExpired(store.ofService(service));
    const total = countLive(service) + recent;
    return due.length + recent > allowedExpiries(total, share);
  }

  function isHerd(due: number): boolean {
    const recent = recentlyExpired(store.entries());
    const allowed = (store.live() + recent) * share;
    return due + recent > Math.max(smallHerd, allowed);
  }

  function sweep(): void {
    const due = new Map<string, Entry[]>();
    let count = 0;
    for (const entry of store.entries()) {
      if (!isDue(entry)) {
        store.setSuspect(entry.announcement.instance, false);
        continue;
      }
      count++;
      const {service} = entry.announcement;
      const group = due.get(service) ?? [];
      due.set(service, [...group, entry]);
    }
    const herd = count > 0 && isHerd(count);
    for (const [service, group] of due) {
      settle(group, herd || isMass(service, group));
    }
    forgetReports();
  }

  function settle(group: readonly Entry[], held: boolean): void {
    for (const entry of group) {
      const {instance} = entry.announcement;
      if (mayExpire(entry) && (!held || isWitnessed(entry))) expire(entry);
      else store.setSuspect(instance, true);
    }
  }

  function isWitnessed(entry: Entry): boolean {
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

  function witness(report: Report): void {
    const entry = store.get(report.instance);
    if (entry === undefined || entry.goneAt !== undefined) return;
    if (entry.announcement.incarnation !== report.incarnation) return;
    if (entry.home !== name && peers.linked(entry.home)) {
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

  store.onChange(entry => {
    const {instance} = entry.announcement;
    if (entry.home !== name || entry.goneAt !== undefined) {
      until.delete(instance);
    }
  });

  return {
    renew(instance) {
      until.set(instance, timers.now() + options.lease);
      store.setSuspect(instance, false);
    },
    closed: instance => shorten(instance, options.closedLease),
    witness,
    sweep,
  };
}

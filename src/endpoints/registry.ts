import type {Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import {createLeases} from './leases.js';
import type {EndpointRecord, EndpointView, KnownInstance} from './messages.js';
import {createNodeSessions} from './node-sessions.js';
import {createPeerHomes} from './peer-homes.js';
import {createRecordStore, toKnownInstance} from './record-store.js';
import {allSafeguards} from './safeguards.js';
import type {Safeguards} from './safeguards.js';

/** Options of `createRegistry`; times in milliseconds. */
export interface RegistryOptions {
  /** The home's name, unique in the deployment. */
  readonly name: string;
  readonly region: string;
  readonly timers: Timers;
  readonly log: Log;
  /** How long a lease lasts after its last renewal. */
  readonly lease: number;
  /** Maximum remaining lease after the node's link has closed; default 5000. */
  readonly closedLinkLease?: number;
  /**
   * How long instances whose home has crashed may take to attach to another home;
   * default three leases.
   */
  readonly orphanLease?: number;
  /** Share of a service's leases that may expire close together; default 0.25. */
  readonly expiryShare?: number;
  /** Time span in which expiries count for `expiryShare`; default 60,000. */
  readonly expiryWindow?: number;
  /** Number of reporting nodes after which a suspect is removed; default 2. */
  readonly requiredWitnesses?: number;
  /** Minimum time between two deltas to one node; default 50. */
  readonly deltaWindow?: number;
  /** Time between two comparisons with each of the other homes; default 1000. */
  readonly comparisonInterval?: number;
  /** Time without a message after which a link to a home is closed; default 5000. */
  readonly peerTimeout?: number;
  /** How long tombstones of gone instances are kept; default one day. */
  readonly tombstoneRetention?: number;
  /** Maximum number of instances, including tombstones; default 50,000. */
  readonly limit?: number;
  /**
   * How long a lease lasts without a renewal after another process has announced
   * the instance's id or gate; more than two renewal intervals. Default 5000.
   */
  readonly contestLease?: number;
  /** For tests only. */
  readonly safeguards?: Partial<Safeguards>;
}

/** A home's replicated table of instances and the leases of its nodes. */
export interface Registry extends EndpointView {
  /** Serves a node's link. */
  accept(channels: Channels): void;
  /** Replicates over a link to another home; both ends call it. */
  peer(channels: Channels): void;
  /** The services that have live instances. */
  services(): readonly string[];
  /** All records, including tombstones, ordered by instance. */
  records(): readonly EndpointRecord[];
  /** Stops the timers; links stay open. */
  close(): void;
}

const defaults = {
  closedLease: 5000,
  orphanLeases: 3,
  contestLease: 5000,
  window: 50,
  comparison: 1000,
  peerTimeout: 5000,
  tombstoneRetention: 24 * 60 * 60_000,
  limit: 50_000,
} as const;

/** Creates the instance registry of a home. */
export function createRegistry(options: RegistryOptions): Registry {
  const {name, region, timers, lease} = options;
  const log = options.log.scope('endpoints');
  const comparison = options.comparisonInterval ?? defaults.comparison;
  const safeguards = {...allSafeguards, ...options.safeguards};
  const store = createRecordStore({
    timers,
    tombstoneRetention:
      options.tombstoneRetention ?? defaults.tombstoneRetention,
    limit: options.limit ?? defaults.limit,
    safeguards,
  });
  const peers = createPeerHomes({
    name,
    timers,
    store,
    timeout: options.peerTimeout ?? defaults.peerTimeout,
    safeguards,
    onUnreachable: report => leases.witness(report),
    onContest: instance => leases.contest(instance),
  });
  const leases = createLeases({
    name,
    region,
    timers,
    log,
    store,
    peers,
    lease,
    closedLinkLease: options.closedLinkLease ?? defaults.closedLease,
    orphanLease: options.orphanLease ?? lease * defaults.orphanLeases,
    expiryShare: options.expiryShare,
    expiryWindow: options.expiryWindow,
    requiredWitnesses: options.requiredWitnesses,
    contestLease: options.contestLease ?? defaults.contestLease,
    safeguards,
  });
  const sessions = createNodeSessions({
    name,
    region,
    timers,
    log,
    store,
    peers,
    leases,
    deltaWindow: options.deltaWindow ?? defaults.window,
    silenceTimeout: lease,
    completeAt: timers.now() + lease + defaults.closedLease,
  });
  const sweeps = timers.every(comparison, () => {
    sessions.sweep();
    peers.sweep();
    leases.sweep();
    store.sweep();
    peers.compare();
  });

  function instances(service: string): readonly KnownInstance[] {
    return [...store.ofService(service)]
      .filter(entry => entry.goneAt === undefined)
      .map(toKnownInstance)
      .sort((left, right) => (left.instance < right.instance ? -1 : 1));
  }

  return {
    accept: sessions.accept,
    peer: peers.accept,
    instances,
    onChange(observe) {
      store.onChange((entry, before) => {
        const {service} = entry.announcement;
        observe(service);
        const former = before?.announcement.service;
        if (former !== undefined && former !== service) observe(former);
      });
    },
    services: () =>
      [...store.services()].filter(service => instances(service).length > 0),
    records: () =>
      [...store.entries()]
        .map(store.record)
        .sort((left, right) =>
          left.announcement.instance < right.announcement.instance ? -1 : 1,
        ),
    close: () => sweeps.cancel(),
  };
}

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

/** Settings of a home's registry; times in milliseconds. */
export interface RegistryOptions {
  /** The home's name, unique in the deployment. */
  readonly name: string;
  readonly region: string;
  readonly timers: Timers;
  readonly log: Log;
  /** How long an instance counts as alive after its last renewal. */
  readonly lease: number;
  /** What is left of the lease once the node's link has closed; default 5000. */
  readonly closedLinkLease?: number;
  /** How long instances of a dead home may take to find another; default three leases. */
  readonly orphanLease?: number;
  /** Share of a service whose leases may run out close together; default 0.25. */
  readonly expiryShare?: number;
  /** How close together counts for `expiryShare`; default 60,000. */
  readonly expiryWindow?: number;
  /** Nodes whose report clears an instance that is held back; default 2. */
  readonly requiredWitnesses?: number;
  /** How long changes that follow another are gathered for a node; default 50. */
  readonly deltaWindow?: number;
  /** Time between two comparisons with each other home; default 1000. */
  readonly comparisonInterval?: number;
  /** Silence after which another home counts as cut off; default 5000. */
  readonly peerTimeout?: number;
  /** How long gone instances are remembered; default one day. */
  readonly tombstoneRetention?: number;
  /** Most instances kept, tombstones included; default 50,000. */
  readonly limit?: number;
  /**
   * What is left of a lease once another process claims the instance's id or
   * gate; more than two renewals. Default 5000.
   */
  readonly contestLease?: number;
  /** For tests only. */
  readonly safeguards?: Partial<Safeguards>;
}

/** A home's part in membership: its nodes' leases and the shared table. */
export interface Registry extends EndpointView {
  /** Takes a node's link. */
  accept(channels: Channels): void;
  /** Takes a link to another home; both ends call it. */
  peer(channels: Channels): void;
  /** All services that have live instances. */
  services(): readonly string[];
  /** The table, tombstones included, ordered by instance. */
  records(): readonly EndpointRecord[];
  /** Ends the timers; links stay as they are. */
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

/** Creates the registry of a home. */
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
  const ticking = timers.every(comparison, () => {
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
        const left = before?.announcement.service;
        if (left !== undefined && left !== service) observe(left);
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
    close: () => ticking.cancel(),
  };
}

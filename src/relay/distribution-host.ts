/**
 * The part of a process that serves nodes: it accepts their links, distributes
 * configuration to them, maintains the leases of their announcements and
 * aggregates their acknowledgements. Control processes and relays both run it.
 */
import {createDepartureServer} from '../departures/departure-server.js';
import type {DepartureStore} from '../departures/departure-store.js';
import {createDistributor} from '../distribution/distributor.js';
import type {DistributorOptions} from '../distribution/distributor.js';
import type {Distributor} from '../distribution/distributor.js';
import {createHomeMesh} from '../distribution/home-mesh.js';
import {createRegistry} from '../endpoints/registry.js';
import type {Registry} from '../endpoints/registry.js';
import {createFleet} from '../fleet/fleet.js';
import type {Fleet} from '../fleet/fleet.js';
import type {Hello, HomeAddress} from '../fleet/messages.js';
import {createChannels} from '../link/channel.js';
import type {Channels} from '../link/channel.js';
import type {Address, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import {createEvidenceExchange} from '../quarantine/evidence-exchange.js';
import type {EvidenceExchange} from '../quarantine/evidence-exchange.js';
import {createRolloutExchange} from '../rollouts/exchange.js';
import type {RolloutExchange} from '../rollouts/exchange.js';
import type {QuotaBounds} from '../quotas/budget.js';
import {createQuotaExchange} from '../quotas/exchange.js';
import type {QuotaExchange} from '../quotas/exchange.js';
import type {Random} from '../random/random.js';
import type {Moment} from '../time/moment.js';
import type {Timers} from '../time/timers.js';

/** Options of `createDistributionHost`; times in milliseconds. */
export interface DistributionHostOptions {
  readonly self: Hello;
  /** The address at which nodes and other homes reach this process. */
  readonly address: Address;
  /** The addresses of all homes of the same kind, including this one. */
  readonly peers: () => readonly Address[];
  /** Homes that are announced to nodes and relays; default none. */
  readonly homes?: () => readonly HomeAddress[];
  readonly source: DistributorOptions['source'];
  readonly barrier: DistributorOptions['barrier'];
  readonly departures: DepartureStore;
  /** Called with the links to the other control processes. */
  readonly onPeer?: (channels: Channels) => void;
  /** Local time as of which a quorum last confirmed the state of the source. */
  readonly asOf: () => number | undefined;
  /** The same by both clocks. */
  readonly confirmedAt: () => Moment | undefined;
  readonly batchWindow: number;
  readonly lease: number;
  readonly quotas: QuotaBounds;
  readonly network: Network;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
}

/** The running distribution host. */
export interface DistributionHost {
  readonly distributor: Distributor;
  readonly fleet: Fleet;
  readonly registry: Registry;
  readonly evidence: EvidenceExchange;
  readonly rollouts: RolloutExchange;
  readonly quotas: QuotaExchange;
  /** Exchanges endpoints and reports over a link that this process opened. */
  attach(channels: Channels): void;
  /** Updates the links to the other homes after `peers` has changed. */
  updatePeers(): void;
  stop(): Promise<void>;
}

/** Opens the listener and the links to the other homes. */
export async function createDistributionHost(
  options: DistributionHostOptions,
): Promise<DistributionHost> {
  const {self, address, network, timers, random, log} = options;
  const distributor = createDistributor(options);
  const registry = createRegistry({
    name: self.name,
    region: self.region,
    timers,
    log,
    lease: options.lease,
  });
  const fleet = createFleet({
    self,
    timers,
    log,
    position: distributor.position,
    peerCount: () => options.peers().filter(peer => peer !== address).length,
    ...(options.homes !== undefined && {homes: options.homes}),
  });

  const evidence = createEvidenceExchange({timers, log});
  const rollouts = createRolloutExchange({timers, log});
  const quotas = createQuotaExchange({
    name: self.name,
    isRelay: self.kind === 'relay',
    timers,
    log,
    bounds: options.quotas,
  });

  const departures = createDepartureServer(options.departures, log);

  fleet.onHello((hello, channels) => {
    // First, since nodes take a confirmed state without a word about departures
    // for that of an older release.
    if (hello.kind !== 'control') departures.accept(channels);
    distributor.accept(channels);
    if (hello.kind === 'node') {
      registry.accept(channels);
      evidence.accept(channels);
      rollouts.accept(channels);
      quotas.accept(channels);
    } else {
      registry.peer(channels);
      evidence.peer(channels);
      quotas.peer(channels);
      if (hello.kind === 'control') options.onPeer?.(channels);
      if (hello.kind === 'relay') rollouts.acceptRelay(channels);
      else rollouts.peer(channels);
    }
  });

  function attach(channels: Channels): void {
    fleet.report(channels);
    registry.peer(channels);
    evidence.peer(channels);
    rollouts.peer(channels);
    quotas.peer(channels);
  }

  const links = new Set<Channels>();
  const listener = await network.listen(address, link => {
    const channels = createChannels(link);
    links.add(channels);
    channels.onClose(() => links.delete(channels));
    fleet.accept(channels);
  });
  const mesh = createHomeMesh({
    network,
    self,
    address,
    peers: options.peers(),
    timers,
    random,
    log,
  });
  mesh.onChannels(attach);
  mesh.onChannels(channels => options.onPeer?.(channels));
  mesh.onReport(fleet.receiveReport);

  return {
    distributor,
    fleet,
    registry,
    evidence,
    rollouts,
    quotas,
    attach,
    updatePeers: () => mesh.setPeers(options.peers()),
    async stop() {
      mesh.stop();
      distributor.stop();
      fleet.stop();
      registry.close();
      rollouts.stop();
      quotas.stop();
      for (const channels of links) channels.link.close();
      await listener.close();
    },
  };
}

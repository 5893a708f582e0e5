import type {Hello, Report} from '../fleet/messages.js';
import type {Channels} from '../link/channel.js';
import type {Address, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Timers} from '../time/timers.js';
import {createHomeConnection} from './home-connection.js';
import type {HomeConnection} from './home-connection.js';

/** Period of the pings to a peer home, in milliseconds. */
const heartbeat = 1000;
/**
 * Maximum delay before another attempt to connect to a peer home, in
 * milliseconds. Until then its nodes learn nothing of the instances of this
 * home's nodes.
 */
const maxReconnectDelay = 500;

/** Options of createHomeMesh. */
export interface HomeMeshOptions {
  readonly network: Network;
  readonly self: Hello;
  /** Address at which this process accepts links. */
  readonly address: Address;
  /**
   * Initial addresses of the peer homes; that of this process may be among
   * them.
   */
  readonly peers: readonly Address[];
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
}

/** Links between the homes of a deployment, one for each pair. */
export interface HomeMesh {
  /** Calls `observe` with the channels of each link that this process opens. */
  onChannels(observe: (channels: Channels) => void): void;
  /** Calls `observe` with each report that arrives over those links. */
  onReport(observe: (report: Report) => void): void;
  /** Replaces the peer homes; links to others are closed. */
  setPeers(peers: readonly Address[]): void;
  stop(): void;
}

/**
 * Creates a mesh. Of two homes, the one with the lower address opens the link.
 */
export function createHomeMesh(options: HomeMeshOptions): HomeMesh {
  const {address, peers, ...shared} = options;
  const connections = new Map<Address, HomeConnection>();
  const channelsObservers: Array<(channels: Channels) => void> = [];
  const reportObservers: Array<(report: Report) => void> = [];
  let isStopped = false;

  function open(peer: Address): void {
    const connection = createHomeConnection({
      ...shared,
      homes: [peer],
      heartbeat,
      maxReconnectDelay,
    });
    connections.set(peer, connection);
    for (const observe of channelsObservers) connection.onChannels(observe);
    for (const observe of reportObservers) connection.onReport(observe);
  }

  function setPeers(addresses: readonly Address[]): void {
    if (isStopped) return;
    const addressesToOpen = new Set(addresses.filter(peer => peer > address));
    for (const [peer, connection] of connections) {
      if (addressesToOpen.has(peer)) continue;
      connections.delete(peer);
      connection.stop();
    }
    for (const peer of addressesToOpen) if (!connections.has(peer)) open(peer);
  }

  setPeers(peers);
  return {
    onChannels(observe) {
      channelsObservers.push(observe);
      for (const connection of connections.values())
        connection.onChannels(observe);
    },
    onReport(observe) {
      reportObservers.push(observe);
      for (const connection of connections.values())
        connection.onReport(observe);
    },
    setPeers,
    stop() {
      isStopped = true;
      for (const connection of connections.values()) connection.stop();
    },
  };
}

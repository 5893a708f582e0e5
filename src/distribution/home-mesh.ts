import type {Hello, Report} from '../fleet/messages.js';
import type {Channels} from '../link/channel.js';
import type {Address, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Timers} from '../time/timers.js';
import {createHomeConnection} from './home-connection.js';
import type {HomeConnection} from './home-connection.js';

/** Settings of a mesh. */
export interface HomeMeshOptions {
  readonly network: Network;
  readonly self: Hello;
  /** Where this process accepts links. */
  readonly address: Address;
  /** Where fellow homes accept links at first; this one's may be among them. */
  readonly peers: readonly Address[];
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
}

/** One link between each two homes of a kind. */
export interface HomeMesh {
  /** Calls `observe` with the channels of each link that was opened here. */
  onChannels(observe: (channels: Channels) => void): void;
  /** Calls `observe` with each report that came over those links. */
  onReport(observe: (report: Report) => void): void;
  /** Keeps links to these fellow homes from now on, and to no others. */
  setPeers(peers: readonly Address[]): void;
  stop(): void;
}

/** Creates a mesh: of two homes, the one with the lesser address opens. */
export function createHomeMesh(options: HomeMeshOptions): HomeMesh {
  const {address, peers, ...shared} = options;
  const homes = new Map<Address, HomeConnection>();
  const channelsObservers: Array<(channels: Channels) => void> = [];
  const reportObservers: Array<(report: Report) => void> = [];
  let isStopped = false;

  function open(peer: Address): void {
    const home = createHomeConnection({...shared, homes: [peer], heartbeat: 1000});
    homes.set(peer, home);
    for (const observe of channelsObservers) home.onChannels(observe);
    for (const observe of reportObservers) home.onReport(observe);
  }

  function follow(list: readonly Address[]): void {
    if (isStopped) return;
    const wanted = new Set(list.filter(peer => peer > address));
    for (const [peer, home] of homes) {
      if (wanted.has(peer)) continue;
      homes.delete(peer);
      home.stop();
    }
    for (const peer of wanted) if (!homes.has(peer)) open(peer);
  }

  follow(peers);
  return {
    onChannels(observe) {
      channelsObservers.push(observe);
      for (const home of homes.values()) home.onChannels(observe);
    },
    onReport(observe) {
      reportObservers.push(observe);
      for (const home of homes.values()) home.onReport(observe);
    },
    setPeers: follow,
    stop() {
      isStopped = true;
      for (const home of homes.values()) home.stop();
    },
  };
}

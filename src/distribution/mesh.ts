import type {Hello, Report} from '../fleet/messages.js';
import type {Channels} from '../link/channel.js';
import type {Address, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Timers} from '../time/timers.js';
import {createHome} from './home.js';

/** Settings of a mesh. */
export interface MeshOptions {
  readonly network: Network;
  readonly self: Hello;
  /** Where this process accepts links. */
  readonly address: Address;
  /** Where all fellow homes accept links; this one's may be among them. */
  readonly peers: readonly Address[];
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
}

/** One link between each two homes of a kind. */
export interface Mesh {
  /** Calls `observe` with the channels of each link that was opened here. */
  onChannels(observe: (channels: Channels) => void): void;
  /** Calls `observe` with each report that came over those links. */
  onReport(observe: (report: Report) => void): void;
  stop(): void;
}

/** Creates a mesh: of two homes, the one with the lesser address opens. */
export function createMesh(options: MeshOptions): Mesh {
  const {address, peers, ...shared} = options;
  const homes = peers
    .filter(peer => peer > address)
    .map(peer => createHome({...shared, homes: [peer], heartbeat: 1000}));
  return {
    onChannels(observe) {
      for (const home of homes) home.onChannels(observe);
    },
    onReport(observe) {
      for (const home of homes) home.onReport(observe);
    },
    stop() {
      for (const home of homes) home.stop();
    },
  };
}

/**
 * Control VMs of a scenario: the real modules on fake disks, links and timers.
 */
import type {ConfigurationMachine} from '../src/configuration/create-configuration-machine.js';
import type {MachineSafeguards} from '../src/configuration/create-configuration-machine.js';
import {createSampleMachine} from '../src/configuration/fakes/sample.js';
import {createConsensus} from '../src/consensus/create-consensus.js';
import type {ConsensusOptions} from '../src/consensus/create-consensus.js';
import type {Consensus, Member} from '../src/consensus/consensus.js';
import {
  createFreezableNetwork,
  createFreezableTimers,
} from '../src/consensus/fakes/freezable.js';
import {createFakeDisk} from '../src/disk/fakes/fake-disk.js';
import type {FakeDisk} from '../src/disk/fakes/fake-disk.js';
import {createReplicatedDepartures} from '../src/departures/replicated-departures.js';
import {createFreshnessTracker} from '../src/distribution/freshness-tracker.js';
import {createSectionSource} from '../src/distribution/section-source.js';
import type {FakeNetwork} from '../src/link/fakes/fake-network.js';
import {createSilentLog} from '../src/log/log.js';
import {createRandom} from '../src/random/random.js';
import {createDistributionHost} from '../src/relay/distribution-host.js';
import type {FakeTimers} from '../src/time/fakes/fake-timers.js';

/** Safeguards that a scenario switches off. */
export interface Safeguards {
  readonly consensus: Partial<NonNullable<ConsensusOptions['safeguards']>>;
  readonly machine: Partial<MachineSafeguards>;
  /** Whether a home confirms a nonce by a quorum before it answers. */
  readonly proof: boolean;
}

/** Options of createControlVm. */
export interface ControlVmOptions {
  readonly member: Member;
  readonly members: readonly Member[];
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  readonly seed: number;
  /** Read at each start. */
  readonly safeguards: () => Safeguards;
}

/** One control VM across restarts of its process. */
export interface ControlVm {
  readonly name: string;
  /** Address of its distribution listener. */
  readonly address: string;
  /** Parts of the running process; undefined while it is down. */
  life(): RunningParts | undefined;
  start(): Promise<void>;
  /** Ends the process at once; unsynced bytes are lost. */
  kill(): void;
  /** Empties the disk of a VM that is down. */
  loseDisk(): void;
}

/** Parts of a running control process. */
export interface RunningParts {
  readonly consensus: Consensus;
  readonly machine: ConfigurationMachine;
}

/** Milliseconds. */
const heartbeat = 50;
/** Milliseconds. */
const electionTimeout = 500;
const snapshotEntries = 50;

const distributionAddress = (name: string) => `${name}:distribution`;

/** Creates a stopped control VM with an empty disk. */
export function createControlVm(options: ControlVmOptions): ControlVm {
  const {member, members, timers, network} = options;
  const {name} = member;
  const log = createSilentLog();
  const random = createRandom(options.seed);
  const address = distributionAddress(name);
  let disk: FakeDisk = createFakeDisk({timers});
  let clock = createFreezableTimers(timers);
  let parts: RunningParts | undefined;

  async function start(): Promise<void> {
    const processClock = clock;
    const safeguards = options.safeguards();
    const shared = {
      timers: processClock,
      network: createFreezableNetwork(network.from(name), processClock),
      random: createRandom(random.integer(1_000_000)),
      log,
    };
    const machine = createSampleMachine({}, safeguards.machine);
    const consensus = await createConsensus({
      ...shared,
      self: member,
      members,
      disk: disk.open(),
      machine,
      heartbeat,
      electionTimeout,
      snapshotEntries,
      safeguards: safeguards.consensus,
    });
    const barrier = () => consensus.readBarrier();
    const freshness = createFreshnessTracker(barrier, processClock);
    const departures = createReplicatedDepartures({
      ...shared,
      consensus,
      machine,
    });
    const host = {
      ...shared,
      self: {
        kind: 'control',
        name,
        failureDomain: member.failureDomain,
        region: 'astana',
      },
      address,
      peers: () => members.map(each => distributionAddress(each.name)),
      source: createSectionSource(machine),
      barrier,
      departures,
      onPeer: departures.peer,
      asOf: freshness.asOf,
      confirmedAt: freshness.confirmedAt,
      batchWindow: 50,
      lease: 10_000,
      quotas: {window: 5_000, overage: 0, slack: 0},
      safeguards: {proof: safeguards.proof},
    } as const;
    await createDistributionHost(host);
    if (processClock === clock) parts = {consensus, machine};
  }

  return {
    name,
    address,
    life: () => parts,
    start,
    kill() {
      // Pending timers and messages of the killed process never fire.
      clock.freeze();
      clock = createFreezableTimers(timers);
      network.kill(name);
      disk.crash();
      parts = undefined;
    },
    loseDisk: () => void (disk = createFakeDisk({timers})),
  };
}

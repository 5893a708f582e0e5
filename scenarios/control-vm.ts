/** Control VMs of a stage: the real slices over fake disks, links and time. */
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
import {createFreshness} from '../src/distribution/freshness.js';
import {createSectionSource} from '../src/distribution/section-source.js';
import type {FakeNetwork} from '../src/link/fakes/fake-network.js';
import {createSilentLog} from '../src/log/log.js';
import {createRandom} from '../src/random/random.js';
import {createDistributionHost} from '../src/relay/distribution-host.js';
import type {FakeTimers} from '../src/time/fakes/fake-timers.js';

/** Safeguards that a scenario takes out. */
export interface Safeguards {
  readonly consensus: Partial<NonNullable<ConsensusOptions['safeguards']>>;
  readonly machine: Partial<MachineSafeguards>;
  /** A home answers a nonce only by a quorum. */
  readonly proof: boolean;
}

/** What a control VM is made of. */
export interface ControlVmOptions {
  readonly member: Member;
  readonly members: readonly Member[];
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  readonly seed: number;
  /** Read at each start. */
  readonly safeguards: () => Safeguards;
}

/** One control VM through the lives of its process. */
export interface ControlVm {
  readonly name: string;
  /** Where nodes reach it. */
  readonly address: string;
  /** Parts of the present life; undefined while it is down. */
  runningParts(): RunningParts | undefined;
  start(): Promise<void>;
  /** Ends the process at once; unsynced bytes are lost. */
  kill(): void;
  /** Empties the disk of a VM that is down. */
  loseDisk(): void;
}

/** The parts of one life. */
export interface RunningParts {
  readonly consensus: Consensus;
  readonly machine: ConfigurationMachine;
}

const heartbeat = 50;
const electionTimeout = 500;
const snapshotEntries = 50;

const distributionAddress = (name: string) => `${name}:distribution`;

/** Creates a control VM that is down, with an empty disk. */
export function createControlVm(options: ControlVmOptions): ControlVm {
  const {member, members, timers, network} = options;
  const {name} = member;
  const log = createSilentLog();
  const random = createRandom(options.seed);
  const address = distributionAddress(name);
  let disk: FakeDisk = createFakeDisk({timers});
  let clock = createFreezableTimers(timers);
  let life: RunningParts | undefined;

  async function start(): Promise<void> {
    const own = clock;
    const safeguards = options.safeguards();
    const shared = {
      timers: own,
      network: createFreezableNetwork(network.from(name), own),
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
    const host = {
      ...shared,
      self: {
        kind: 'control',
        name,
        failureDomain: member.failureDomain,
        region: 'astana',
      },
      address,
      fellows: () => members.map(each => distributionAddress(each.name)),
      source: createSectionSource(machine),
      barrier,
      asOf: createFreshness(barrier, own).asOf,
      batchWindow: 50,
      lease: 10_000,
      safeguards: {proof: safeguards.proof},
    } as const;
    await createDistributionHost(host);
    if (own === clock) life = {consensus, machine};
  }

  return {
    name,
    address,
    runningParts: () => life,
    start,
    kill() {
      // Whatever this life still had to do, it never does.
      clock.freeze();
      clock = createFreezableTimers(timers);
      network.kill(name);
      disk.crash();
      life = undefined;
    },
    loseDisk: () => void (disk = createFakeDisk({timers})),
  };
}

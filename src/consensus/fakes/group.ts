import {createHash} from 'node:crypto';
import {createFakeDisk} from '../../disk/fakes/fake-disk.js';
import type {FakeDisk, FakeDiskOptions} from '../../disk/fakes/fake-disk.js';
import {createFakeNetwork} from '../../link/fakes/fake-network.js';
import type {FakeNetwork} from '../../link/fakes/fake-network.js';
import {createSilentLog} from '../../log/log.js';
import {createRandom} from '../../random/random.js';
import type {Random} from '../../random/random.js';
import type {Failure, Result} from '../../result/failure.js';
import {createFakeTimers, settle} from '../../time/fakes/fake-timers.js';
import type {FakeTimers} from '../../time/fakes/fake-timers.js';
import {StateMachine} from '../consensus.js';
import type {Consensus, Member} from '../consensus.js';
import {createConsensus} from '../create-consensus.js';
import {createFreezableNetwork, createFreezableTimers} from './freezable.js';
import type {FreezableTimers} from './freezable.js';
import type {ConsensusOptions} from '../create-consensus.js';

/** A state machine that records every entry. */
export interface Journal extends StateMachine {
  readonly entries: ReadonlyArray<{index: number; text: string}>;
  /** Hash of all applied entries in order. */
  digest(): string;
}

/** Creates a journal. */
export function createJournal(): Journal {
  let entries: Array<{index: number; text: string}> = [];
  return new (class extends StateMachine {
    get entries() {
      return entries;
    }

    apply(index: number, entry: Uint8Array): Uint8Array {
      entries.push({index, text: Buffer.from(entry).toString()});
      return Buffer.from(`${index}`);
    }

    snapshot(): Uint8Array {
      return Buffer.from(JSON.stringify(entries));
    }

    restore(index: number, snapshot: Uint8Array): void {
      entries = JSON.parse(Buffer.from(snapshot).toString());
    }

    digest(): string {
      const text = JSON.stringify(entries);
      return createHash('sha256').update(text).digest('hex');
    }
  })();
}

/** One member of a group under test, across its restarts. */
export interface TestMember {
  readonly member: Member;
  disk: FakeDisk;
  consensus: Consensus | undefined;
  journal: Journal;
  failure: Failure | undefined;
  /** The member's own freezable timers. */
  clock: FreezableTimers;
}

/** A control group in memory. */
export interface TestGroup {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  member(name: string): TestMember;
  readonly names: readonly string[];
  /** Starts a member; `overrides` replace the options of the group. */
  start(name: string, overrides?: Partial<ConsensusOptions>): Promise<void>;
  /**
   * Kills a member. Unsynced bytes are lost; with `random`, a random part of
   * them is kept.
   */
  kill(name: string, random?: Random): void;
  /** Stops a member in an orderly way. */
  stop(name: string): Promise<void>;
  /** Adds a member that is not among the founders. */
  add(name: string): void;
  /** Advances the time by `duration` milliseconds. */
  run(duration: number): Promise<void>;
  /** Advances the time until `done`, or throws after `limit` milliseconds. */
  until(done: () => boolean, limit?: number): Promise<void>;
  /** The name of the leader, or undefined unless there is exactly one. */
  leader(): string | undefined;
  /** Advances the time until there is a leader and returns its name. */
  elect(): Promise<string>;
  /**
   * Proposes an entry to a member and advances the time until it has answered.
   */
  propose(name: string, text: string): Promise<Result<Uint8Array>>;
  /** Advances the time until a promise has settled. */
  settled<T>(promise: Promise<T>): Promise<T>;
  /** Attaches a disk to a member that is not running. */
  useDisk(name: string, disk: FakeDisk): void;
  /** Swaps the disks of two members. */
  swapDisks(left: string, right: string): void;
  /**
   * Freezes a process as SIGSTOP does: its timers and messages are held back.
   */
  freeze(name: string): void;
  /** Continues a frozen process; timers and messages held back run at once. */
  thaw(name: string): void;
  /** Cuts all messages between `name` and the others in both directions. */
  isolate(name: string): void;
}

/** Options of createTestGroup, on top of those of its members. */
export interface TestGroupOptions extends Partial<ConsensusOptions> {
  readonly seed?: number;
  readonly diskOptions?: FakeDiskOptions;
}

const electionTimeout = 500;
const heartbeat = 50;

/**
 * Creates a group of `size` members named a, b, c and so on, without starting
 * them.
 */
export function createTestGroup(
  size: number,
  options: TestGroupOptions = {},
): TestGroup {
  const timers = createFakeTimers();
  const network = createFakeNetwork(timers);
  const all = new Map<string, TestMember>();
  const random = createRandom(options.seed ?? 1);

  function add(name: string): void {
    const address = `10.0.0.${all.size + 1}:7000`;
    all.set(name, {
      member: {
        name,
        address,
        failureDomain: `domain-${name}`,
        operatorAddress: address.replace('7000', '7001'),
        distributionAddress: address.replace('7000', '7002'),
      },
      disk: createFakeDisk({timers, ...options.diskOptions}),
      consensus: undefined,
      journal: createJournal(),
      failure: undefined,
      clock: createFreezableTimers(timers),
    });
  }

  for (let at = 0; at < size; at++) add(String.fromCharCode(97 + at));
  const founders = [...all.values()].map(({member}) => member);
  const running = () => [...all.values()].filter(({consensus}) => consensus);

  async function start(
    name: string,
    overrides: Partial<ConsensusOptions> = {},
  ): Promise<void> {
    const testMember = all.get(name)!;
    testMember.journal = createJournal();
    testMember.failure = undefined;
    const {clock} = testMember;
    const starting = createConsensus({
      self: testMember.member,
      members: founders,
      disk: testMember.disk.open(),
      network: createFreezableNetwork(network.from(name), clock),
      timers: clock,
      random: createRandom(random.integer(1_000_000)),
      log: createSilentLog(),
      machine: testMember.journal,
      heartbeat,
      electionTimeout,
      snapshotEntries: 1000,
      onFailure(failure) {
        if (testMember.clock === clock) testMember.failure = failure;
      },
      ...options,
      ...overrides,
    });
    testMember.consensus = await settled(starting);
  }

  function kill(name: string, crashRandom?: Random): void {
    const testMember = all.get(name)!;
    // Timers and messages that are still pending in the killed process never
    // run.
    testMember.clock.freeze();
    testMember.clock = createFreezableTimers(timers);
    network.kill(name);
    testMember.disk.crash(crashRandom);
    testMember.consensus = undefined;
  }

  function leader(): string | undefined {
    const leaders = running().filter(
      ({consensus}) => consensus!.status().role === 'leader',
    );
    return leaders.length === 1 ? leaders[0]!.member.name : undefined;
  }

  async function until(done: () => boolean, limit = 20_000): Promise<void> {
    const end = timers.now() + limit;
    await settle();
    while (!done()) {
      if (timers.now() >= end) throw new Error('condition not met in time');
      await timers.advanceAsync(10);
    }
  }

  async function settled<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    const onSettled = () => (isSettled = true);
    promise.then(onSettled, onSettled);
    await until(() => isSettled);
    return promise;
  }

  return {
    timers,
    network,
    member: name => all.get(name)!,
    get names() {
      return [...all.keys()];
    },
    start,
    kill,
    async stop(name) {
      const testMember = all.get(name)!;
      const {consensus} = testMember;
      testMember.consensus = undefined;
      await settled(consensus!.stop());
    },
    add,
    run: duration => timers.advanceAsync(duration),
    until,
    leader,
    async elect() {
      await until(() => leader() !== undefined);
      return leader()!;
    },
    propose: (name, text) =>
      settled(all.get(name)!.consensus!.propose(Buffer.from(text))),
    settled,
    useDisk: (name, disk) => void (all.get(name)!.disk = disk),
    swapDisks(left, right) {
      const [first, second] = [all.get(left)!, all.get(right)!];
      [first.disk, second.disk] = [second.disk, first.disk];
    },
    freeze: name => all.get(name)!.clock.freeze(),
    thaw: name => all.get(name)!.clock.thaw(),
    isolate(name) {
      for (const other of all.keys()) {
        if (other === name) continue;
        network.cut(name, other);
        network.cut(other, name);
      }
    },
  };
}

/** Creates a group, starts all its members and waits for a leader. */
export async function startTestGroup(
  size: number,
  options: TestGroupOptions = {},
): Promise<TestGroup> {
  const group = createTestGroup(size, options);
  for (const name of group.names) await group.start(name);
  await group.elect();
  await group.run(heartbeat * 4);
  return group;
}

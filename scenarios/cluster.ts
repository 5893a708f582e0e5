/**
 * The cluster that a scenario runs on: three control VMs, nodes and operators.
 */
import {decodeAnswer} from '../src/configuration/log-entry.js';
import type {Answer, Command, Edit} from '../src/configuration/messages.js';
import {createHomeConnection} from '../src/distribution/home-connection.js';
import type {HomeConnection} from '../src/distribution/home-connection.js';
import {createSubscriber} from '../src/distribution/subscriber.js';
import type {Subscriber} from '../src/distribution/subscriber.js';
import {createFakeNetwork} from '../src/link/fakes/fake-network.js';
import type {FakeNetwork} from '../src/link/fakes/fake-network.js';
import {createSilentLog} from '../src/log/log.js';
import {createRandom} from '../src/random/random.js';
import {createFakeTimers, settle} from '../src/time/fakes/fake-timers.js';
import type {FakeTimers} from '../src/time/fakes/fake-timers.js';
import {createControlVm} from './control-vm.js';
import type {ControlVm, Safeguards} from './control-vm.js';

/** One node across its restarts; it has no disk. */
export interface Node {
  readonly name: string;
  home: HomeConnection;
  subscriber: Subscriber;
  /** Versions in the order in which they came into force, across restarts. */
  readonly versions: number[];
}

/** The state that the steps of a scenario share. */
export interface Cluster {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  /** Names of safeguards that are switched off; read when a process starts. */
  readonly disabledSafeguards: Set<string>;
  /** By the names that scenarios use; `alpha` is the first leader. */
  readonly controls: Map<string, ControlVm>;
  readonly nodes: Map<string, Node>;
  /** Answers to operators, the latest last; undefined where none came. */
  readonly answers: Array<Answer | undefined>;
  /** The last command of each operator. */
  readonly commands: Map<string, Command>;
  /** Values that later steps compare with. */
  readonly notedValues: Map<string, number>;
  control(name: string): ControlVm;
  node(name: string): Node;
  /** Starts three control VMs and names them after the first election. */
  startControls(): Promise<void>;
  /** Starts or restarts a node; `homes` are names of control VMs. */
  startNode(name: string, homes: readonly string[]): void;
  stopNode(name: string): void;
  /**
   * Name of the leader that is not cut off; undefined unless there is exactly
   * one.
   */
  leader(): string | undefined;
  /** Creates an operator's next command. */
  prepare(operator: string, edits: readonly Edit[], expected?: number): Command;
  /** Sends a command to one control VM; undefined when no answer comes. */
  send(name: string, command: Command): Promise<Answer | undefined>;
  /**
   * Sends a command to the leader, and again until an answer comes or time is
   * up.
   */
  submit(command: Command): Promise<Answer | undefined>;
  cutOff(name: string): void;
  /** Restores all connections. */
  heal(): void;
  /**
   * Advances the time until `done`; throws with `description` after the limit.
   */
  until(
    description: string,
    done: () => boolean,
    limit?: number,
  ): Promise<void>;
}

/** Milliseconds. */
const waitTimeout = 30_000;
/** Milliseconds. */
const answerTimeout = 5_000;

/** Creates a cluster without running processes. */
export function createCluster(): Cluster {
  const timers = createFakeTimers(1_000_000);
  const network = createFakeNetwork(timers);
  const log = createSilentLog();
  const disabledSafeguards = new Set<string>();
  const controls = new Map<string, ControlVm>();
  const nodes = new Map<string, Node>();
  const commands = new Map<string, Command>();
  let seed = 1;

  const disabledAmong = (names: readonly string[]) =>
    Object.fromEntries(
      names
        .filter(name => disabledSafeguards.has(name))
        .map(name => [name, false]),
    );

  const safeguards = (): Safeguards => ({
    consensus: disabledAmong(['preVote', 'checkQuorum', 'storageIdentity']),
    machine: disabledAmong(['answers']),
    proof: !disabledSafeguards.has('proof'),
  });

  async function until(
    description: string,
    done: () => boolean,
    limit = waitTimeout,
  ): Promise<void> {
    const end = timers.now() + limit;
    await settle();
    while (!done()) {
      if (timers.now() >= end)
        throw new Error(`timed out waiting for ${description}`);
      await timers.advanceAsync(10);
    }
  }

  /**
   * The value of a promise; undefined when it does not settle within the
   * timeout.
   */
  async function within<T>(promise: Promise<T>): Promise<T | undefined> {
    let outcome: {value: T} | undefined;
    void promise.then(value => (outcome = {value}));
    const end = timers.now() + answerTimeout;
    await until(
      'an answer or its timeout',
      () => outcome !== undefined || timers.now() >= end,
    );
    return outcome?.value;
  }

  function leader(): string | undefined {
    const leading = [...controls].filter(([, vm]) => {
      const status = vm.life()?.consensus.status();
      return status?.role === 'leader' && !cutOffMembers.has(vm.name);
    });
    return leading.length === 1 ? leading[0]![0] : undefined;
  }

  const cutOffMembers = new Set<string>();

  async function startControls(): Promise<void> {
    const domains = ['hall-a', 'hall-b', 'hall-c'];
    const members = domains.map((failureDomain, index) => ({
      name: `control-${index + 1}`,
      address: `10.0.0.${index + 1}:7000`,
      failureDomain,
    }));
    for (const member of members) {
      const vm = createControlVm({
        ...{member, members, timers, network, safeguards},
        seed: seed++,
      });
      controls.set(vm.name, vm);
    }
    for (const vm of controls.values()) await startVm(vm);
    await until('the first leader', () => leader() !== undefined);
    await timers.advanceAsync(1000);
    const first = controls.get(leader()!)!;
    const others = [...controls.values()].filter(vm => vm !== first);
    controls.clear();
    ['alpha', 'beta', 'gamma'].forEach((name, index) =>
      controls.set(name, [first, ...others][index]!),
    );
  }

  async function startVm(vm: ControlVm): Promise<void> {
    await within(vm.start());
  }

  function startNode(name: string, homes: readonly string[]): void {
    const shared = () => ({timers, log, random: createRandom(seed++)});
    const home = createHomeConnection({
      ...shared(),
      network: network.from(name),
      homes: homes.map(each => controls.get(each)!.address),
      self: {kind: 'node', name, failureDomain: 'hall-a', region: 'astana'},
    });
    const proof = !disabledSafeguards.has('proof');
    const subscriber = createSubscriber({
      ...shared(),
      home,
      safeguards: {proof},
    });
    const versions = nodes.get(name)?.versions ?? [];
    subscriber.onSwitch(({version}) => versions.push(version));
    nodes.set(name, {name, home, subscriber, versions});
  }

  async function send(
    name: string,
    command: Command,
  ): Promise<Answer | undefined> {
    const life = controls.get(name)!.life();
    if (life === undefined) return undefined;
    const entry = life.machine.prepare(command, timers.wall());
    const result = await within(life.consensus.propose(entry));
    return result?.ok ? decodeAnswer(result.value) : undefined;
  }

  async function submit(command: Command): Promise<Answer | undefined> {
    const end = timers.now() + waitTimeout;
    while (timers.now() < end) {
      const name = leader();
      const answer = name === undefined ? undefined : await send(name, command);
      if (answer !== undefined) return answer;
      await timers.advanceAsync(100);
    }
    return undefined;
  }

  return {
    timers,
    network,
    disabledSafeguards,
    controls,
    nodes,
    answers: [],
    commands,
    notedValues: new Map(),
    control(name) {
      const vm = controls.get(name);
      if (vm === undefined) throw new Error(`no control VM ${name}`);
      return vm;
    },
    node(name) {
      const node = nodes.get(name);
      if (node === undefined) throw new Error(`no node ${name}`);
      return node;
    },
    startControls,
    startNode,
    stopNode(name) {
      nodes.get(name)!.home.stop();
      nodes.get(name)!.subscriber.stop();
      network.kill(name);
    },
    leader,
    prepare(operator, edits, expectedVersion) {
      const sequence = (commands.get(operator)?.sequence ?? 0) + 1;
      const command = {operator, sequence, expectedVersion, edits};
      commands.set(operator, command);
      return command;
    },
    send,
    submit,
    cutOff(name) {
      const memberName = controls.get(name)!.name;
      const others = [...controls.values(), ...nodes.values()];
      for (const other of others) {
        if (other.name === memberName) continue;
        network.cut(memberName, other.name);
        network.cut(other.name, memberName);
      }
      cutOffMembers.add(memberName);
    },
    heal() {
      cutOffMembers.clear();
      network.heal();
    },
    until,
  };
}

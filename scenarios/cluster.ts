/** The stage of a scenario: three control VMs, nodes and operators. */
import {decodeAnswer} from '../src/configuration/entry.js';
import type {Answer, Command, Edit} from '../src/configuration/messages.js';
import {createHome} from '../src/distribution/home.js';
import type {Home} from '../src/distribution/home.js';
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

/** One node through its lives; it has no disk. */
export interface Node {
  readonly name: string;
  home: Home;
  subscriber: Subscriber;
  /** Versions in the order in which they came into force, over all lives. */
  readonly versions: number[];
}

/** Everything that a scenario's steps act on. */
export interface Cluster {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  /** Safeguards that are out; read when a process starts. */
  readonly disabledSafeguards: Set<string>;
  /** By the names of the scenario; `alpha` led first. */
  readonly controls: Map<string, ControlVm>;
  readonly nodes: Map<string, Node>;
  /** Answers that operators got, the latest last. */
  readonly answers: Array<Answer | undefined>;
  /** The last command of each operator. */
  readonly commands: Map<string, Command>;
  /** Figures that later steps compare with. */
  readonly notedValues: Map<string, number>;
  control(name: string): ControlVm;
  node(name: string): Node;
  /** Starts three control VMs and names them after the first election. */
  startControls(): Promise<void>;
  /** Starts or restarts a node; its homes are named control VMs. */
  startNode(name: string, homes: readonly string[]): void;
  stopNode(name: string): void;
  /** The VM that leads with a majority behind it, by its name here. */
  leader(): string | undefined;
  /** The next command of an operator. */
  prepare(operator: string, edits: readonly Edit[], expected?: number): Command;
  /** Sends a command to one control VM; undefined when no answer comes. */
  send(name: string, command: Command): Promise<Answer | undefined>;
  /** Sends a command to each VM in turn until one answers it. */
  submit(command: Command): Promise<Answer | undefined>;
  cutOff(name: string): void;
  /** Ends all cuts. */
  heal(): void;
  /** Lets time pass until `done`; throws with `wish` when it never is. */
  until(wish: string, done: () => boolean, limit?: number): Promise<void>;
}

const patience = 30_000;
const answerTimeout = 5_000;

/** Creates a stage on which nothing runs yet. */
export function createCluster(): Cluster {
  const timers = createFakeTimers(1_000_000);
  const network = createFakeNetwork(timers);
  const log = createSilentLog();
  const off = new Set<string>();
  const controls = new Map<string, ControlVm>();
  const nodes = new Map<string, Node>();
  const commands = new Map<string, Command>();
  let seed = 1;

  const without = (names: readonly string[]) =>
    Object.fromEntries(
      names.filter(name => off.has(name)).map(name => [name, false]),
    );

  const safeguards = (): Safeguards => ({
    consensus: without(['preVote', 'checkQuorum', 'storageIdentity']),
    machine: without(['answers']),
    proof: !off.has('proof'),
  });

  async function until(
    wish: string,
    done: () => boolean,
    limit = patience,
  ): Promise<void> {
    const end = timers.now() + limit;
    await settle();
    while (!done()) {
      if (timers.now() >= end) throw new Error(`it never came: ${wish}`);
      await timers.advanceAsync(10);
    }
  }

  /** The value of a promise, or undefined when it does not settle in time. */
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
      const status = vm.runningParts()?.consensus.status();
      return status?.role === 'leader' && !isCutOff.has(vm.name);
    });
    return leading.length === 1 ? leading[0]![0] : undefined;
  }

  const isCutOff = new Set<string>();

  async function startControls(): Promise<void> {
    const domains = ['hall-a', 'hall-b', 'hall-c'];
    const members = domains.map((failureDomain, at) => ({
      name: `control-${at + 1}`,
      address: `10.0.0.${at + 1}:7000`,
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
    await until('a first leader', () => leader() !== undefined);
    await timers.advanceAsync(1000);
    const first = controls.get(leader()!)!;
    const others = [...controls.values()].filter(vm => vm !== first);
    controls.clear();
    ['alpha', 'beta', 'gamma'].forEach((name, at) =>
      controls.set(name, [first, ...others][at]!),
    );
  }

  async function startVm(vm: ControlVm): Promise<void> {
    await within(vm.start());
  }

  function startNode(name: string, homes: readonly string[]): void {
    const shared = () => ({timers, log, random: createRandom(seed++)});
    const home = createHome({
      ...shared(),
      network: network.from(name),
      homes: homes.map(each => controls.get(each)!.address),
      self: {kind: 'node', name, failureDomain: 'hall-a', region: 'astana'},
    });
    const proof = !off.has('proof');
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
    const life = controls.get(name)!.runningParts();
    if (life === undefined) return undefined;
    const entry = life.machine.prepare(command, timers.wall());
    const result = await within(life.consensus.propose(entry));
    return result?.ok ? decodeAnswer(result.value) : undefined;
  }

  async function submit(command: Command): Promise<Answer | undefined> {
    const end = timers.now() + patience;
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
    disabledSafeguards: off,
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
      const own = controls.get(name)!.name;
      const others = [...controls.values(), ...nodes.values()];
      for (const other of others) {
        if (other.name === own) continue;
        network.cut(own, other.name);
        network.cut(other.name, own);
      }
      isCutOff.add(own);
    },
    heal() {
      isCutOff.clear();
      network.heal();
    },
    until,
  };
}

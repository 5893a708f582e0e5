/** Gates and keepers on a fake network, with a counter of runs per key. */
import type {
  Keeper,
  KeeperAssignment,
} from '../../configuration/configuration.js';
import {createFakeNetwork} from '../../link/fakes/fake-network.js';
import type {FakeNetwork} from '../../link/fakes/fake-network.js';
import {createSilentLog} from '../../log/log.js';
import {createRandom} from '../../random/random.js';
import type {Random} from '../../random/random.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import type {FakeTimers} from '../../time/fakes/fake-timers.js';
import type {Acquisition} from '../claims.js';
import {createClaims} from '../create-claims.js';
import type {KeeperClaims} from '../create-claims.js';
import {createKeeper} from '../keeper.js';
import type {ClaimKeeper} from '../keeper.js';
import type {KeeperSafeguards} from '../service-claims.js';

/** What a gate does after its claim was granted. */
export type GateBehavior =
  | 'answer'
  | 'die-before-run'
  | 'die-during-run'
  | 'die-after-run'
  | 'lose-answer'
  | 'release';

/** Options of `createClaimCluster`, such as safeguards to turn off. */
export interface ClusterOptions {
  readonly seed?: number;
  readonly retention?: number;
  readonly claims?: number;
  readonly keeperSafeguards?: Partial<KeeperSafeguards>;
  readonly votesNeeded?: (keepers: number) => number;
}

/** One incarnation of a gate. */
export interface Gate {
  readonly name: string;
  readonly claims: KeeperClaims;
  alive: boolean;
  assignment: KeeperAssignment | undefined;
}

/** One incarnation of a keeper. */
export interface RunningKeeper {
  readonly identity: Keeper;
  readonly keeper: ClaimKeeper;
}

/** The gates and keepers of one service. */
export interface ClaimCluster {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  readonly random: Random;
  /** Number of runs that were started, by key. */
  readonly runs: Map<string, number>;
  readonly keepers: Map<string, RunningKeeper>;
  /** Starts a node's keeper as a new incarnation. */
  startKeeper(instance: string): Promise<Keeper>;
  killKeeper(instance: string): void;
  startGate(name: string): Gate;
  killGate(gate: Gate): void;
  /** Sends a keeper set to the named processes or to all. */
  assign(assignment: KeeperAssignment, names?: readonly string[]): void;
  /** Sends one keyed request through a gate. */
  submit(
    gate: Gate,
    key: string,
    behavior?: GateBehavior,
    request?: {fingerprint?: string; timeout?: number; work?: number},
  ): Promise<Acquisition>;
}

const service = 'stock-desk';
const defaultTimeout = 1000;
const hour = 3_600_000;

/** Creates a cluster without keepers or gates. */
export function createClaimCluster(options: ClusterOptions = {}): ClaimCluster {
  const timers = createFakeTimers(1);
  const network = createFakeNetwork(timers);
  const random = createRandom(options.seed ?? 1);
  const log = createSilentLog();
  const runs = new Map<string, number>();
  const keepers = new Map<string, RunningKeeper>();
  const gates = new Set<Gate>();
  let lastIncarnation = 0;
  let latest: KeeperAssignment | undefined;

  async function startKeeper(instance: string): Promise<Keeper> {
    const identity: Keeper = {
      instance,
      incarnation: ++lastIncarnation,
      address: `${instance}:1`,
      failureDomain: instance,
    };
    const keeper = await createKeeper({
      self: identity,
      network: network.from(instance),
      timers,
      log,
      limits: {
        retention: options.retention ?? hour,
        claims: options.claims ?? 1000,
        watchers: 8,
      },
      safeguards: options.keeperSafeguards,
    });
    keepers.set(instance, {identity, keeper});
    if (latest !== undefined) keeper.assign(service, latest);
    return identity;
  }

  function killKeeper(instance: string): void {
    const running = keepers.get(instance);
    keepers.delete(instance);
    network.kill(instance);
    void running?.keeper.stop();
  }

  function startGate(name: string): Gate {
    const gate: Gate = {
      name,
      alive: true,
      assignment: latest,
      claims: createClaims({
        self: `${name}/${++lastIncarnation}`,
        network: network.from(name),
        timers,
        random,
        log,
        assignment: () => gate.assignment,
        votesNeeded: options.votesNeeded,
      }),
    };
    gates.add(gate);
    return gate;
  }

  function killGate(gate: Gate): void {
    gate.alive = false;
    gates.delete(gate);
    network.kill(gate.name);
    gate.claims.stop();
  }

  function finish(gate: Gate, behavior: GateBehavior, claim: Granted): void {
    const answer = {status: 200, headers: [], body: Buffer.from('booked')};
    if (behavior === 'die-during-run') return killGate(gate);
    if (behavior === 'lose-answer') return claim.abandon();
    claim.complete(answer);
    if (behavior === 'die-after-run') killGate(gate);
  }

  async function submit(
    gate: Gate,
    key: string,
    behavior: GateBehavior = 'answer',
    {
      fingerprint = 'order',
      timeout = defaultTimeout,
      work = 5,
    }: {fingerprint?: string; timeout?: number; work?: number} = {},
  ): Promise<Acquisition> {
    const deadline = timers.now() + timeout;
    const acquisition = await gate.claims.acquire({
      service,
      key,
      fingerprint,
      deadline,
    });
    if (acquisition.kind !== 'granted' || !gate.alive) return acquisition;
    const {claim} = acquisition;
    if (behavior === 'die-before-run') killGate(gate);
    else if (behavior === 'release') claim.release();
    else {
      runs.set(key, (runs.get(key) ?? 0) + 1);
      timers.after(work, () => {
        if (gate.alive) finish(gate, behavior, claim);
      });
    }
    return acquisition;
  }

  return {
    timers,
    network,
    random,
    runs,
    keepers,
    startKeeper,
    killKeeper,
    startGate,
    killGate,
    assign(assignment, names) {
      const isReceiver = (name: string) => names?.includes(name) ?? true;
      if ((latest?.epoch ?? 0) < assignment.epoch) latest = assignment;
      for (const [name, running] of keepers) {
        if (isReceiver(name)) running.keeper.assign(service, assignment);
      }
      for (const gate of gates) {
        if (isReceiver(gate.name)) gate.assignment = assignment;
      }
    },
    submit,
  };
}

type Granted = Extract<Acquisition, {kind: 'granted'}>['claim'];

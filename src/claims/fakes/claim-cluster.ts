/** Gates and keepers on a fake network, with a count of runs per key. */
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

/** What a gate does with a claim that it won. */
export type GateBehavior =
  | 'answer'
  | 'die-before-run'
  | 'die-during-run'
  | 'die-after-run'
  | 'lose-answer'
  | 'release';

/** Safeguards to take out. */
export interface ClusterOptions {
  readonly seed?: number;
  readonly retention?: number;
  readonly claims?: number;
  readonly keeperSafeguards?: Partial<KeeperSafeguards>;
  readonly votesNeeded?: (keepers: number) => number;
}

/** One gate's life. */
export interface Gate {
  readonly name: string;
  readonly claims: KeeperClaims;
  alive: boolean;
  assignment: KeeperAssignment | undefined;
}

/** One keeper's life. */
export interface RunningKeeper {
  readonly identity: Keeper;
  readonly keeper: ClaimKeeper;
}

export interface ClaimCluster {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  readonly random: Random;
  /** Times that work began, by key. */
  readonly runs: Map<string, number>;
  readonly keepers: Map<string, RunningKeeper>;
  /** Starts a node's keeper, as a new life if it ran before. */
  startKeeper(instance: string): Promise<Keeper>;
  killKeeper(instance: string): void;
  startGate(name: string): Gate;
  killGate(gate: Gate): void;
  /** Tells the named processes, or all, of a keeper set. */
  assign(assignment: KeeperAssignment, names?: readonly string[]): void;
  /** Sends one keyed request through a gate. */
  submit(
    gate: Gate,
    key: string,
    course?: GateBehavior,
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
  let lives = 0;
  let latest: KeeperAssignment | undefined;

  async function startKeeper(instance: string): Promise<Keeper> {
    const identity: Keeper = {
      instance,
      incarnation: ++lives,
      address: `${instance}:1`,
      failureDomain: instance,
    };
    const part = await createKeeper({
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
    keepers.set(instance, {identity, keeper: part});
    if (latest !== undefined) part.assign(service, latest);
    return identity;
  }

  function killKeeper(instance: string): void {
    const life = keepers.get(instance);
    keepers.delete(instance);
    network.kill(instance);
    void life?.keeper.stop();
  }

  function startGate(name: string): Gate {
    const gate: Gate = {
      name,
      alive: true,
      assignment: latest,
      claims: createClaims({
        self: `${name}/${++lives}`,
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

  function finish(gate: Gate, course: GateBehavior, claim: Granted): void {
    const answer = {status: 200, headers: [], body: Buffer.from('booked')};
    if (course === 'die-during-run') return killGate(gate);
    if (course === 'lose-answer') return claim.abandon();
    claim.complete(answer);
    if (course === 'die-after-run') killGate(gate);
  }

  async function submit(
    gate: Gate,
    key: string,
    course: GateBehavior = 'answer',
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
    if (course === 'die-before-run') killGate(gate);
    else if (course === 'release') claim.release();
    else {
      runs.set(key, (runs.get(key) ?? 0) + 1);
      timers.after(work, () => {
        if (gate.alive) finish(gate, course, claim);
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
      const isTold = (name: string) => names?.includes(name) ?? true;
      if ((latest?.epoch ?? 0) < assignment.epoch) latest = assignment;
      for (const [name, life] of keepers) {
        if (isTold(name)) life.keeper.assign(service, assignment);
      }
      for (const gate of gates) {
        if (isTold(gate.name)) gate.assignment = assignment;
      }
    },
    submit,
  };
}

type Granted = Extract<Acquisition, {kind: 'granted'}>['claim'];

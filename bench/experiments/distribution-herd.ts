import {setTimeout as sleep} from 'node:timers/promises';
import {
  awaitSynced,
  findConvergence,
  startHerd,
  startHome,
  startNodes,
  stopAll,
} from '../distribution/harness.js';
import type {Convergence, StandInProcess} from '../distribution/harness.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Number of services that the project is designed for. */
const services = 710;

/**
 * Nodes that stay connected, and processes of nodes that reconnect together.
 */
const steadyNodes = 240;
const herdProcesses = 4;
const nodesPerProcess = 120;

/** Changes accepted while the herd reconnects; `gap` in milliseconds. */
const changes = {count: 20, gap: 100};

const mebibyte = 1024 * 1024;

interface Variant {
  readonly name: string;
  readonly isAdmitting: boolean;
  readonly syncBytesPerSecond?: number;
  readonly hasHerd: boolean;
}

const variants: readonly Variant[] = [
  {name: 'no admission', isAdmitting: false, hasHerd: true},
  ...[16, 32].map(rate => ({
    name: `admission at ${rate} MiB/s`,
    isAdmitting: true,
    syncBytesPerSecond: rate * mebibyte,
    hasHerd: true,
  })),
  {name: 'no herd', isAdmitting: true, hasHerd: false},
];

interface Figures {
  readonly name: string;
  /** Convergence of the nodes that stayed connected. */
  readonly convergence: Convergence;
  /** Milliseconds until the whole herd has the latest version. */
  readonly herd: number;
  readonly isHerdSynced: boolean;
  readonly postponed: number;
  /** Peak memory of the relay in bytes. */
  readonly peak: number;
}

async function measure(variant: Variant, seed: number): Promise<Figures> {
  const source = await startHome({services, seed});
  const sources = [{address: source.address}];
  const {isAdmitting, syncBytesPerSecond} = variant;
  const relay = await startHome({
    name: 'relay-1',
    sources,
    isAdmitting,
    ...(syncBytesPerSecond !== undefined && {syncBytesPerSecond}),
    seed,
  });
  const homes = [{address: relay.address}];
  const shared = {homes, services, seed};
  const steady = await startNodes({
    name: 'steady',
    nodes: steadyNodes,
    subscribed: 12,
    ...shared,
  });
  await awaitSynced([steady], steadyNodes, 1);
  await sleep(300);
  const count = variant.hasHerd ? herdProcesses : 0;
  const start = Date.now();
  const herd = await Promise.all(
    Array.from({length: count}, (_, index) =>
      startHerd({
        name: `herd-${index}`,
        nodes: nodesPerProcess,
        subscribed: 0,
        ...shared,
      }),
    ),
  );
  const reply = await source.ask({kind: 'changes', ...changes});
  const last = reply.changes[changes.count - 1]!.version;
  const isHerdSynced = await awaitHerd(herd, last);
  const herdDuration = Date.now() - start;
  await awaitSynced([steady], steadyNodes, last);
  const {switches} = await steady.ask({kind: 'switches'});
  const {counts, peak} = await relay.usage();
  await stopAll([...herd, steady, relay, source]);
  return {
    name: variant.name,
    convergence: findConvergence(reply.changes, [switches], steadyNodes),
    herd: herdDuration,
    isHerdSynced,
    postponed: counts!.postponed,
    peak,
  };
}

/** Milliseconds after which the herd is reported as not in sync. */
const herdLimit = 25_000;

function awaitHerd(
  herd: readonly StandInProcess[],
  version: number,
): Promise<boolean> {
  const nodes = herd.length * nodesPerProcess;
  return awaitSynced(herd, nodes, version, herdLimit);
}

async function run(options: RunOptions): Promise<Outcome> {
  const figures: Figures[] = [];
  for (const variant of variants) {
    figures.push(await measure(variant, options.seed));
  }
  const [baseline, ...others] = figures;
  const counts: Record<string, number> = {
    'steady nodes': steadyNodes,
    'herd nodes': herdProcesses * nodesPerProcess,
  };
  for (const one of figures) {
    counts[`postponed with ${one.name}`] = one.postponed;
    counts[`missing with ${one.name}`] = one.convergence.missing;
    counts[`herd in step with ${one.name}`] = one.isHerdSynced ? 1 : 0;
  }
  return {
    rows: others.flatMap(one => rowsOf(one, baseline!)),
    counts,
    notes: [
      'the herd subscribes to all services, like a node without `calls`, and discards the states that it receives',
      'times of the herd include the start of its processes',
    ],
  };
}

function rowsOf(one: Figures, baseline: Figures): Row[] {
  const {name, convergence} = one;
  const base = baseline.convergence;
  const rows = [
    compare(`${name}: steady p50`, 'ms', convergence.p50, base.p50),
    compare(`${name}: steady p99`, 'ms', convergence.p99, base.p99),
    compare(`${name}: steady last`, 'ms', convergence.lastMax, base.lastMax),
  ];
  if (name === 'no herd') return rows;
  return [
    ...rows,
    compare(`${name}: herd`, 'ms', one.herd, baseline.herd),
    compare(
      `${name}: peak memory of the relay`,
      'MiB',
      one.peak / mebibyte,
      baseline.peak / mebibyte,
    ),
  ];
}

/** Effect of a reconnecting herd on convergence, with and without admission. */
export const experiment: Experiment = {
  name: 'distribution-herd',
  about: 'convergence of changes while a herd of nodes reconnects to its relay',
  baseline: 'every sync served at once',
  seconds: 60,
  run,
};

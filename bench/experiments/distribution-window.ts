import {setTimeout as sleep} from 'node:timers/promises';
import {
  awaitSynced,
  findConvergence,
  startHome,
  startNodes,
  stopAll,
} from '../distribution/harness.js';
import type {Convergence, StandInProcess} from '../distribution/harness.js';
import type {Usage} from '../distribution/messages.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Batching windows at control and relays in milliseconds. */
interface Windows {
  readonly control: number;
  readonly relay: number;
}

/** The first is the baseline. */
const windows: readonly Windows[] = [
  {control: 0, relay: 0},
  {control: 20, relay: 0},
  {control: 50, relay: 0},
  {control: 100, relay: 0},
  {control: 250, relay: 0},
  {control: 500, relay: 0},
  {control: 1000, relay: 0},
  {control: 2000, relay: 0},
  {control: 500, relay: 500},
  {control: 1000, relay: 1000},
];

/** A burst of changes, as from an operator's script; `gap` in milliseconds. */
const burst = {count: 100, gap: 20};

const relays = 2;
const processes = 2;
const nodesPerProcess = 120;
const services = 100;

interface Figures {
  readonly windows: Windows;
  readonly convergence: Convergence;
  /** Bytes per change on the source's links and on the links of one node. */
  readonly source: number;
  readonly node: number;
}

async function measure(windows: Windows, seed: number): Promise<Figures> {
  const batchWindow = windows.control;
  const source = await startHome({batchWindow, services, seed});
  const sources = [{address: source.address}];
  const homes = await Promise.all(
    Array.from({length: relays}, (_, index) =>
      startHome({
        name: `relay-${index}`,
        sources,
        batchWindow: windows.relay,
        seed,
      }),
    ),
  );
  const nodes = await Promise.all(
    Array.from({length: processes}, (_, index) =>
      startNodes({
        name: `nodes-${index}`,
        homes: homes.map(({address}) => ({address})),
        nodes: nodesPerProcess,
        subscribed: 12,
        services,
        seed: seed + index,
      }),
    ),
  );
  const total = processes * nodesPerProcess;
  await awaitSynced(nodes, total, 1);
  await sleep(200);
  const before = await usageOf([source, ...nodes]);
  const {changes} = await source.ask({kind: 'changes', ...burst});
  const last = changes[changes.length - 1]!.version;
  await awaitSynced(nodes, total, last);
  await sleep(100);
  const after = await usageOf([source, ...nodes]);
  const switches = await Promise.all(
    nodes.map(one => one.ask({kind: 'switches'})),
  );
  await stopAll([...nodes, ...homes, source]);
  const bytesByProcess = after.map((usage, index) =>
    bytesOf(usage, before[index]!),
  );
  const [atSource, ...atNodes] = bytesByProcess;
  const sum = atNodes.reduce((left, right) => left + right, 0);
  return {
    windows,
    convergence: findConvergence(
      changes,
      switches.map(one => one.switches),
      total,
    ),
    source: atSource! / changes.length,
    node: sum / total / changes.length,
  };
}

function usageOf(all: readonly StandInProcess[]): Promise<Usage[]> {
  return Promise.all(all.map(one => one.usage()));
}

function bytesOf(after: Usage, before: Usage): number {
  const totalBytes = (usage: Usage) => usage.bytesIn + usage.bytesOut;
  return totalBytes(after) - totalBytes(before);
}

async function run(options: RunOptions): Promise<Outcome> {
  const figures: Figures[] = [];
  for (const pair of windows) {
    figures.push(await measure(pair, options.seed));
  }
  const [baseline, ...others] = figures;
  const rows: Row[] = others.flatMap(one => rowsOf(one, baseline!));
  const missing = figures.reduce(
    (sum, one) => sum + one.convergence.missing,
    0,
  );
  return {
    rows,
    plots: [
      {
        title: 'Convergence time against control bytes over batching windows',
        xLabel: 'bytes of a node for each change',
        yLabel: 'convergence time, ms',
        yScale: 'log',
        series: [
          curve('p50', figures, one => one.p50),
          curve('p99', figures, one => one.p99),
          curve('last', figures, one => one.lastMax),
        ],
      },
    ],
    counts: {
      nodes: processes * nodesPerProcess,
      changes: burst.count,
      'missing pairs of node and change': missing,
    },
    notes: ['the bytes include the heartbeats during the burst'],
  };
}

function rowsOf(one: Figures, baseline: Figures): Row[] {
  const {windows, convergence} = one;
  const base = baseline.convergence;
  const at = `windows ${windows.control} and ${windows.relay} ms:`;
  return [
    compare(`${at} convergence p50`, 'ms', convergence.p50, base.p50),
    compare(`${at} convergence p99`, 'ms', convergence.p99, base.p99),
    compare(`${at} last node`, 'ms', convergence.lastMax, base.lastMax),
    compare(`${at} source, a change`, 'B', one.source, baseline.source),
    compare(`${at} node, a change`, 'B', one.node, baseline.node),
  ];
}

/** The curve over the windows at control, without a window at the relays. */
function curve(
  name: string,
  figures: readonly Figures[],
  pick: (convergence: Convergence) => number,
) {
  const controlOnly = figures.filter(one => one.windows.relay === 0);
  const points = controlOnly.map(one => ({
    x: one.node,
    y: pick(one.convergence),
  }));
  return {name, points};
}

/**
 * Convergence time and bytes by batching window; a basis for choosing the
 * window.
 */
export const experiment: Experiment = {
  name: 'distribution-window',
  about: 'convergence time against control bytes over batching windows',
  baseline: 'no batching window',
  seconds: 60,
  run,
};

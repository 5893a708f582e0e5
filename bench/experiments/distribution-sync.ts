import {setTimeout as sleep} from 'node:timers/promises';
import {
  awaitSynced,
  startHome,
  startNodes,
  stopAll,
} from '../distribution/harness.js';
import type {StandInProcess} from '../distribution/harness.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

const services = 710;
const nodes = 20;

/** Numbers of changes that the nodes miss while they are disconnected. */
const missedSteps = [1, 10, 100, 700];

interface Figures {
  readonly missed: number;
  /** Bytes per node until it has the latest version again. */
  readonly bytes: number;
  /** Milliseconds of the source's processor time per node. */
  readonly processor: number;
}

/**
 * Measures nodes that reconnect. With a long ring of recent changes they
 * receive deltas, with a short one the sections that differ.
 */
async function measureReconnects(
  ringLength: number,
  seed: number,
): Promise<Figures[]> {
  const source = await startHome({services, ringLength, seed});
  const homes = [{address: source.address}];
  const shared = {homes, nodes, services, seed};
  const nodeProcess = await startNodes({
    name: 'nodes',
    subscribed: 0,
    ...shared,
  });
  await awaitSynced([nodeProcess], nodes, 1);
  const figures: Figures[] = [];
  let version = 1;
  for (const missed of missedSteps) {
    await nodeProcess.ask({kind: 'away', isAway: true});
    await sleep(50);
    await source.ask({kind: 'changes', count: missed, gap: 0});
    version += missed;
    figures.push(
      await measureSync(missed, source, nodeProcess, version, async () => {
        await nodeProcess.ask({kind: 'away', isAway: false});
      }),
    );
  }
  await stopAll([nodeProcess, source]);
  return figures;
}

async function measureSnapshot(seed: number): Promise<Figures> {
  const source = await startHome({services, seed});
  const homes = [{address: source.address}];
  const shared = {homes, nodes, services, seed};
  const nodeProcess = await startNodes({
    name: 'nodes',
    subscribed: 0,
    ...shared,
  });
  await awaitSynced([nodeProcess], nodes, 1);
  const figures = await measureSync(0, source, nodeProcess, 1, async () => {
    await nodeProcess.ask({kind: 'drop'});
  });
  await stopAll([nodeProcess, source]);
  return figures;
}

async function measureSync(
  missed: number,
  source: StandInProcess,
  nodeProcess: StandInProcess,
  version: number,
  reconnect: () => Promise<void>,
): Promise<Figures> {
  const nodesBefore = await nodeProcess.usage();
  const sourceBefore = await source.usage();
  await reconnect();
  await awaitSynced([nodeProcess], nodes, version, 12_000);
  const nodesAfter = await nodeProcess.usage();
  const sourceAfter = await source.usage();
  const bytes =
    nodesAfter.bytesIn +
    nodesAfter.bytesOut -
    nodesBefore.bytesIn -
    nodesBefore.bytesOut;
  const processor = sourceAfter.processor - sourceBefore.processor;
  return {missed, bytes: bytes / nodes, processor: processor / nodes};
}

async function run(options: RunOptions): Promise<Outcome> {
  const snapshot = await measureSnapshot(options.seed);
  const deltas = await measureReconnects(1024, options.seed);
  const comparisons = await measureReconnects(1, options.seed);
  return {
    rows: [
      ...deltas.flatMap(one => rowsOf('delta', one, snapshot)),
      ...comparisons.flatMap(one => rowsOf('sections', one, snapshot)),
    ],
    counts: {services, nodes},
    notes: ['with one missed change the short ring still gives a delta'],
  };
}

function rowsOf(way: string, figures: Figures, snapshot: Figures): Row[] {
  const at = `${way}, ${figures.missed} changes missed:`;
  return [
    compare(`${at} bytes of a node`, 'B', figures.bytes, snapshot.bytes),
    compare(
      `${at} source processor of a node`,
      'ms',
      figures.processor,
      snapshot.processor,
    ),
  ];
}

/** Cost of synchronizing a node, by method and number of missed changes. */
export const experiment: Experiment = {
  name: 'distribution-sync',
  about: 'delta, differing sections and snapshot after missed changes',
  baseline: 'a snapshot of all sections',
  seconds: 60,
  run,
};

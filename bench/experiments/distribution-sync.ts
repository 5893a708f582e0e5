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

/** Changes that pass the nodes by while they are away. */
const missedSteps = [1, 10, 100, 700];

interface Figures {
  readonly missed: number;
  /** Bytes of one node until it is in step again. */
  readonly bytes: number;
  /** Milliseconds of the source's processor time for one node. */
  readonly processor: number;
}

/** `ringLength` decides the way: a long ring gives deltas, a short one not. */
async function measureReturns(
  ringLength: number,
  seed: number,
): Promise<Figures[]> {
  const source = await startHome({services, ringLength, seed});
  const homes = [{address: source.address}];
  const shared = {homes, nodes, services, seed};
  const one = await startNodes({name: 'nodes', subscribed: 0, ...shared});
  await awaitSynced([one], nodes, 1);
  const figures: Figures[] = [];
  let version = 1;
  for (const missed of missedSteps) {
    await one.ask({kind: 'away', isAway: true});
    await sleep(50);
    await source.ask({kind: 'changes', count: missed, gap: 0});
    version += missed;
    figures.push(
      await spend(missed, source, one, version, async () => {
        await one.ask({kind: 'away', isAway: false});
      }),
    );
  }
  await stopAll([one, source]);
  return figures;
}

async function measureSnapshot(seed: number): Promise<Figures> {
  const source = await startHome({services, seed});
  const homes = [{address: source.address}];
  const shared = {homes, nodes, services, seed};
  const one = await startNodes({name: 'nodes', subscribed: 0, ...shared});
  await awaitSynced([one], nodes, 1);
  const figures = await spend(0, source, one, 1, async () => {
    await one.ask({kind: 'drop'});
  });
  await stopAll([one, source]);
  return figures;
}

async function spend(
  missed: number,
  source: StandInProcess,
  one: StandInProcess,
  version: number,
  back: () => Promise<void>,
): Promise<Figures> {
  const nodesBefore = await one.usage();
  const sourceBefore = await source.usage();
  await back();
  await awaitSynced([one], nodes, version, 12_000);
  const nodesAfter = await one.usage();
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
  const deltas = await measureReturns(1024, options.seed);
  const comparisons = await measureReturns(1, options.seed);
  return {
    rows: [
      ...deltas.flatMap(one => rowsOf('delta', one, snapshot)),
      ...comparisons.flatMap(one => rowsOf('sections', one, snapshot)),
    ],
    counts: {services, nodes},
    notes: ['with one change missed the short ring still reaches back'],
  };
}

function rowsOf(way: string, one: Figures, snapshot: Figures): Row[] {
  const at = `${way}, ${one.missed} changes missed:`;
  return [
    compare(`${at} bytes of a node`, 'B', one.bytes, snapshot.bytes),
    compare(
      `${at} source processor of a node`,
      'ms',
      one.processor,
      snapshot.processor,
    ),
  ];
}

/** What bringing a node back into step costs, by way and by what it missed. */
export const experiment: Experiment = {
  name: 'distribution-sync',
  about: 'delta, differing sections and snapshot after missed changes',
  baseline: 'a snapshot of all sections',
  seconds: 60,
  run,
};

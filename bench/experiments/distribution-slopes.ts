import {setTimeout as sleep} from 'node:timers/promises';
import {
  awaitSynced,
  fitLine,
  startHome,
  startNodes,
  stopAll,
} from '../distribution/harness.js';
import type {StandInProcess} from '../distribution/harness.js';
import type {Usage} from '../distribution/messages.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Number of services that the project is designed for. */
const services = 710;

/** Measured points of the three slopes. */
const nodeSteps = [50, 150, 300];
const changeSteps = [0, 5, 15];
const subscribedSteps = [1, 12, 40, 120];

const usualNodes = 150;
const usualSubscribed = 12;

interface Load {
  readonly nodes: number;
  readonly subscribed: number;
  /** Changes per second. */
  readonly changes: number;
}

/** Cost of a load at a process, per second. */
interface Rate {
  /** Milliseconds of processor time. */
  readonly processor: number;
  readonly bytes: number;
}

interface Figures {
  readonly load: Load;
  readonly source: Rate;
  readonly relay: Rate;
  /** All stand-in nodes together. */
  readonly nodes: Rate;
  /**
   * Memory of the relay and of all nodes in bytes, after a garbage collection.
   */
  readonly relayMemory: number;
  readonly nodesMemory: number;
}

async function measure(
  load: Load,
  seconds: number,
  seed: number,
): Promise<Figures> {
  const source = await startHome({services, seed});
  const sources = [{address: source.address}];
  const relay = await startHome({name: 'relay-1', sources, seed});
  const nodes = await startNodes({
    name: 'nodes',
    homes: [{address: relay.address}],
    nodes: load.nodes,
    subscribed: load.subscribed,
    services,
    seed,
  });
  const processes = [source, relay, nodes];
  const isSynced = await awaitSynced([nodes], load.nodes, 1);
  if (!isSynced) throw new Error('the nodes did not synchronize in time');
  await sleep(500);
  const [, relayMemory, nodesMemory] = await Promise.all(
    processes.map(one => one.memory()),
  );
  const rates = await rateOf(processes, load, seconds);
  await stopAll(processes);
  const [atSource, atRelay, atNodes] = rates;
  return {
    load,
    source: atSource!,
    relay: atRelay!,
    nodes: atNodes!,
    relayMemory: relayMemory!,
    nodesMemory: nodesMemory!,
  };
}

async function rateOf(
  processes: readonly StandInProcess[],
  load: Load,
  seconds: number,
): Promise<Rate[]> {
  const before = await usageOf(processes);
  const start = Date.now();
  const {changes} = load;
  if (changes > 0) {
    const count = Math.ceil(changes * seconds);
    await processes[0]!.ask({kind: 'changes', count, gap: 1000 / changes});
  }
  await sleep(Math.max(0, seconds * 1000 - (Date.now() - start)));
  const after = await usageOf(processes);
  const elapsedSeconds = (Date.now() - start) / 1000;
  return after.map((usage, index) => {
    const earlier = before[index]!;
    const bytes =
      usage.bytesIn + usage.bytesOut - earlier.bytesIn - earlier.bytesOut;
    return {
      processor: (usage.processor - earlier.processor) / elapsedSeconds,
      bytes: bytes / elapsedSeconds,
    };
  });
}

function usageOf(processes: readonly StandInProcess[]): Promise<Usage[]> {
  return Promise.all(processes.map(one => one.usage()));
}

async function run(options: RunOptions): Promise<Outcome> {
  const steps = nodeSteps.length + changeSteps.length + subscribedSteps.length;
  const seconds = Math.min(4, options.seconds / steps - 1.5);
  const usualLoad = {
    nodes: usualNodes,
    subscribed: usualSubscribed,
    changes: 0,
  };
  const byNodes: Figures[] = [];
  for (const nodes of nodeSteps) {
    byNodes.push(await measure({...usualLoad, nodes}, seconds, options.seed));
  }
  const byChanges: Figures[] = [];
  for (const changes of changeSteps) {
    byChanges.push(
      await measure({...usualLoad, changes}, seconds, options.seed),
    );
  }
  const bySubscribed: Figures[] = [];
  for (const subscribed of subscribedSteps) {
    const load = {...usualLoad, subscribed, changes: 5};
    bySubscribed.push(await measure(load, seconds, options.seed));
  }
  return {
    rows: [
      ...rowsOfNodes(byNodes),
      ...rowsOfChanges(byChanges),
      ...rowsOfSubscribed(bySubscribed),
    ],
    counts: {services, 'seconds of each step': seconds},
    notes: [
      'slopes by least squares; the baseline column is the intercept, so the ratio has no meaning beside it',
      'a relay serves its nodes; the source serves one relay',
    ],
  };
}

/** A row with a slope, compared to its intercept. */
function slope(
  figure: string,
  unit: string,
  figures: readonly Figures[],
  x: (load: Load) => number,
  y: (figures: Figures) => number,
): Row {
  const line = fitLine(figures.map(one => ({x: x(one.load), y: y(one)})));
  return compare(figure, unit, line.slope, line.intercept);
}

function rowsOfNodes(figures: readonly Figures[]): Row[] {
  const nodes = (load: Load) => load.nodes;
  const row = (what: string, unit: string, y: (one: Figures) => number) =>
    slope(`an idle node: ${what}`, unit, figures, nodes, y);
  return [
    row('relay processor', 'ms/s', one => one.relay.processor),
    row('relay bytes', 'B/s', one => one.relay.bytes),
    row('relay memory', 'B', one => one.relayMemory),
    row('source processor', 'ms/s', one => one.source.processor),
    row('source bytes', 'B/s', one => one.source.bytes),
    row('node processor', 'ms/s', one => one.nodes.processor),
    row('node bytes', 'B/s', one => one.nodes.bytes),
    row('node memory', 'B', one => one.nodesMemory),
  ];
}

function rowsOfChanges(figures: readonly Figures[]): Row[] {
  const changes = (load: Load) => load.changes;
  const row = (what: string, unit: string, y: (one: Figures) => number) =>
    slope(`a change: ${what}`, unit, figures, changes, y);
  const share = (value: number) => value / usualNodes;
  return [
    row('relay processor', 'ms', one => one.relay.processor),
    row('relay bytes', 'B', one => one.relay.bytes),
    row('source processor', 'ms', one => one.source.processor),
    row('source bytes', 'B', one => one.source.bytes),
    row('one node processor', 'ms', one => share(one.nodes.processor)),
    row('one node bytes', 'B', one => share(one.nodes.bytes)),
  ];
}

function rowsOfSubscribed(figures: readonly Figures[]): Row[] {
  const subscribed = (load: Load) => load.subscribed;
  const row = (what: string, unit: string, y: (one: Figures) => number) =>
    slope(`a subscribed service: ${what}`, unit, figures, subscribed, y);
  const share = (value: number) => value / usualNodes;
  return [
    row('one node memory', 'B', one => share(one.nodesMemory)),
    row('relay memory a node', 'B', one => share(one.relayMemory)),
    row('one node bytes at 5 changes/s', 'B/s', one => share(one.nodes.bytes)),
    row('one node processor at 5 changes/s', 'ms/s', one =>
      share(one.nodes.processor),
    ),
  ];
}

/** Slopes from which the cost of a deployment of any size is computed. */
export const experiment: Experiment = {
  name: 'distribution-slopes',
  about: 'cost of a node, a change and a subscribed service, at each role',
  baseline: 'the intercept of each slope',
  seconds: 60,
  run,
};

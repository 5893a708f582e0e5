import {measureTick} from '../endpoints/tick.js';
import {startDeployment} from '../endpoints/deployment.js';
import type {Size, ResourceUsage} from '../endpoints/deployment.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, RunOptions} from '../experiment.js';

/**
 * The cost of one home as slopes: per linked node, per instance of other homes,
 * per other home, and per restart.
 */

interface Variant {
  readonly name: string;
  readonly idle: ResourceUsage;
  /** Usage while instances restart at a constant rate. */
  readonly churn?: ResourceUsage;
  /** Usage while 1/7 of all instances restarts within a second. */
  readonly mass?: ResourceUsage;
}

const services = 710;
const calls = 10;
const restartsPerSecond = 20;
/** Instances that restart within a second: 1/7 of 6,700. */
const massRestarts = 957;
/**
 * Number of idle measurements; the smallest counts, since other load on the
 * machine can only add to a measurement.
 */
const windows = 4;

const pause = (milliseconds: number) =>
  new Promise<void>(resolve => {
    setTimeout(resolve, milliseconds);
  });

async function measure(
  name: string,
  size: Pick<Size, 'homes' | 'nodes' | 'crowd'>,
  options: RunOptions,
  churning = false,
): Promise<Variant> {
  const deployment = await startDeployment({
    ...size,
    kind: 'registry',
    nodeHomes: 1,
    services,
    calls,
    seed: options.seed,
  });
  const duration = options.seconds * 40;
  await pause(2000);
  let idle: ResourceUsage | undefined;
  for (let window = 0; window < windows; window++) {
    const usage = await deployment.measureUsage(() => pause(duration));
    if (idle === undefined || rate(usage) < rate(idle)) idle = usage;
  }
  let churn: ResourceUsage | undefined;
  let mass: ResourceUsage | undefined;
  if (churning) {
    const restarts = (duration / 1000) * restartsPerSecond;
    churn = await deployment.measureUsage(() =>
      deployment.churn(restarts, duration),
    );
    mass = await deployment.measureUsage(async () => {
      await deployment.churn(massRestarts, 1000);
      await pause(500);
    });
  }
  deployment.close();
  return {name, idle: idle!, churn, mass};
}

const rate = (usage: ResourceUsage) => usage.first.cpu / usage.seconds;

const cpuPerSecond = ({idle}: Variant) => rate(idle);

async function run(options: RunOptions): Promise<Outcome> {
  const few = await measure('few', {homes: 2, nodes: 70}, options);
  const nodes = await measure('nodes', {homes: 2, nodes: 280}, options);
  const full = {homes: 2, nodes: 280, crowd: 6420};
  const table = await measure('table', full, options, true);

  const nodeSlope = (cpuPerSecond(nodes) - cpuPerSecond(few)) / 210;
  const small = measureTick(710, 23);
  const large = measureTick(6710, 23);
  const peerBytes = table.idle.first.peerBytes / table.idle.seconds;
  const memory = (table.idle.first.memory - nodes.idle.first.memory) / 6420;
  const nodeMemory = (nodes.idle.first.memory - few.idle.first.memory) / 210;
  const churn = table.churn!;
  const restarts = churn.seconds * restartsPerSecond;
  const perRestart = (usage: number, idle: number) =>
    (usage - (idle / table.idle.seconds) * churn.seconds) / restarts;
  return {
    rows: [
      {figure: 'home CPU per node linked', unit: 'us/s', value: nodeSlope},
      {
        figure: 'home CPU per instance of other homes',
        unit: 'us/s',
        value: (large - small) / 6000,
      },
      {
        figure: 'bytes per other home, both ways',
        unit: 'B/s',
        value: peerBytes,
      },
      {figure: 'home memory per instance', unit: 'B', value: memory},
      {figure: 'home memory per node linked', unit: 'B', value: nodeMemory},
      compare(
        'home CPU, 280 nodes, 6,700 instances, 1 other home',
        'us/s',
        cpuPerSecond(table),
        cpuPerSecond(few),
      ),
      {
        figure: 'home CPU per restart elsewhere',
        unit: 'us',
        value: perRestart(churn.first.cpu, table.idle.first.cpu),
      },
      {
        figure: 'home CPU, 957 restarts in a second, for each',
        unit: 'us',
        value: table.mass!.first.cpu / massRestarts,
      },
      {
        figure: 'bytes from the other home per restart',
        unit: 'B',
        value: perRestart(churn.first.peerBytes, table.idle.first.peerBytes),
      },
      {
        figure: 'bytes to all 280 nodes per restart',
        unit: 'B',
        value: perRestart(churn.nodeBytes, table.idle.nodeBytes),
      },
      {
        figure: 'node bytes, idle',
        unit: 'B/s',
        value: table.idle.nodeBytes / table.idle.seconds / 280,
      },
      {
        figure: 'node CPU, idle',
        unit: 'us/s',
        value: table.idle.fleetCpu / table.idle.seconds / 280,
      },
      {
        figure: 'memory of the home at 6,700 instances',
        unit: 'MB',
        value: table.idle.first.memory / 1e6,
      },
    ],
    counts: {restarts: Math.round(restarts), services, calls},
    notes: [
      `idle figures are the least of ${windows} windows`,
      'one home measured; the other 6,420 instances are announced inside a second home',
    ],
  };
}

export const experiment: Experiment = {
  name: 'endpoints-size',
  about: 'slopes of one home at 280 nodes and 6,700 instances in 710 services',
  baseline: 'the same home with 70 nodes and no other instances',
  seconds: 50,
  run,
};

import {startDeployment} from '../endpoints/deployment.js';
import type {Deployment, EventTimes, Size} from '../endpoints/deployment.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Time until nodes know of a change of an instance, and its cost. */

interface Variant {
  /** Microseconds of processor time per node and second while idle. */
  readonly homeIdle: number;
  readonly nodeIdle: number;
  /** Bytes per node and second, and per home and second, while idle. */
  readonly nodeBytes: number;
  readonly peerBytes: number;
  readonly drain: EventTimes;
  /** Cost of a drain and its end, without the idle cost. */
  readonly drainHomeCpu: number;
  readonly drainBytes: number;
  readonly crash: EventTimes;
  readonly hang: EventTimes;
  readonly mass: EventTimes;
  readonly massSeconds: number;
  readonly massHomeCpu: number;
  readonly massBytes: number;
}

const drains = 30;
const massShare = 1 / 7;
const size: Omit<Size, 'kind' | 'seed'> = {
  homes: 3,
  nodes: 210,
  services: 22,
  calls: 6,
};

const pause = (milliseconds: number) =>
  new Promise<void>(resolve => {
    setTimeout(resolve, milliseconds);
  });

async function playDrains(deployment: Deployment): Promise<EventTimes> {
  const times: number[] = [];
  let missed = 0;
  for (let turn = 0; turn < drains; turn++) {
    const played = await deployment.play('drain');
    times.push(...played.times);
    missed += played.missed;
    await pause(100);
  }
  return {times, missed};
}

async function measure(
  kind: Size['kind'],
  options: RunOptions,
): Promise<Variant> {
  const deployment = await startDeployment({...size, kind, seed: options.seed});
  await pause(2000);
  const idle = await deployment.measureUsage(() =>
    pause(options.seconds * 120),
  );
  const nodeSeconds = size.nodes * idle.seconds;
  let drain: EventTimes | undefined;
  const drained = await deployment.measureUsage(async () => {
    drain = await playDrains(deployment);
  });
  const above = (key: 'homeCpu' | 'nodeBytes' | 'peerBytes') =>
    drained[key] - (idle[key] / idle.seconds) * drained.seconds;
  let mass: EventTimes | undefined;
  const restarted = await deployment.measureUsage(async () => {
    mass = await deployment.play('mass-restart', massShare);
  });
  const crash = await deployment.play('crash');
  const hang = await deployment.play('hang');
  deployment.close();
  const restarts = Math.floor(size.nodes * massShare);
  return {
    homeIdle: idle.homeCpu / nodeSeconds,
    nodeIdle: idle.fleetCpu / nodeSeconds,
    nodeBytes: idle.nodeBytes / nodeSeconds,
    peerBytes: idle.peerBytes / 2 / idle.seconds / size.homes,
    drain: drain!,
    drainHomeCpu: above('homeCpu') / drains,
    drainBytes: (above('nodeBytes') + above('peerBytes') / 2) / drains,
    crash,
    hang,
    mass: mass!,
    massSeconds: restarted.seconds,
    massHomeCpu: restarted.homeCpu / restarts,
    massBytes: restarted.nodeBytes / restarts,
  };
}

function quantile(times: readonly number[], share: number): number {
  const sorted = [...times].sort((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ]!;
}

function timeRows(
  name: string,
  registry: EventTimes,
  naive: EventTimes,
): Row[] {
  const row = (label: string, share: number) =>
    compare(
      `${name} known, ${label}`,
      'ms',
      quantile(registry.times, share),
      quantile(naive.times, share),
    );
  return [row('p50', 0.5), row('p99', 0.99), row('last node', 1)];
}

async function run(options: RunOptions): Promise<Outcome> {
  const naive = await measure('naive', options);
  const registry = await measure('registry', options);
  const row = (
    figure: string,
    unit: string,
    key: {
      [K in keyof Variant]: Variant[K] extends number ? K : never;
    }[keyof Variant],
  ) => compare(figure, unit, registry[key], naive[key]);
  return {
    rows: [
      row('home CPU, idle, per node and second', 'us', 'homeIdle'),
      row('node CPU, idle, per second', 'us', 'nodeIdle'),
      row('node bytes, idle, per second', 'B', 'nodeBytes'),
      row('home to home bytes, idle, per second', 'B', 'peerBytes'),
      row('home CPU per drain and its end', 'us', 'drainHomeCpu'),
      row('bytes per drain and its end', 'B', 'drainBytes'),
      row('home CPU per restart of 1/7 at once', 'us', 'massHomeCpu'),
      row('node bytes per restart of 1/7 at once', 'B', 'massBytes'),
      ...timeRows('drain', registry.drain, naive.drain),
      ...timeRows('crash', registry.crash, naive.crash),
      ...timeRows('silence', registry.hang, naive.hang),
      ...timeRows('restart of 1/7', registry.mass, naive.mass),
    ],
    counts: {
      ...size,
      'drains known': registry.drain.times.length,
      missed:
        registry.drain.missed +
        registry.crash.missed +
        registry.hang.missed +
        registry.mass.missed,
      'missed by the baseline':
        naive.drain.missed +
        naive.crash.missed +
        naive.hang.missed +
        naive.mass.missed,
    },
    notes: [
      'stand-in nodes: announcer, table and membership of each, one link each, all in one process',
      'node CPU is the whole stand-in process divided by its nodes',
    ],
  };
}

export const experiment: Experiment = {
  name: 'endpoints-spread',
  about: 'time until all nodes know of a drain, a crash, a mass restart; cost',
  baseline: 'each renewal forwarded to all homes and all nodes',
  seconds: 50,
  run,
};

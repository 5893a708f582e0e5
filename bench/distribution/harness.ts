import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {
  AcceptedChange,
  Command,
  HomeSetup,
  NodesSetup,
  Switch,
  Reply,
  Usage,
} from './messages.js';

/** One stand-in process. */
export interface StandInProcess {
  readonly address: string;
  ask<K extends Command['kind']>(
    ask: Extract<Command, {kind: K}>,
  ): Promise<Extract<Reply, {kind: K}>>;
  usage(): Promise<Usage>;
  memory(): Promise<number>;
  stop(): Promise<void>;
}

const homeDefaults = {
  sources: [],
  services: 100,
  routesPerService: 2,
  batchWindow: 0,
  isAdmitting: true,
  round: 2,
  seed: 1,
} as const;

/** Starts a source, or a relay when it is given sources. */
export function startHome(setup: Partial<HomeSetup>): Promise<StandInProcess> {
  return start('home-process.js', {name: 'home', ...homeDefaults, ...setup});
}

/** Starts a process of stand-in nodes. */
export function startNodes(setup: NodesSetup): Promise<StandInProcess> {
  return start('node-process.js', setup);
}

/** Starts a process of nodes that drop the states they get. */
export function startHerd(setup: NodesSetup): Promise<StandInProcess> {
  return start('herd-process.js', setup);
}

async function start(file: string, setup: unknown): Promise<StandInProcess> {
  const path = fileURLToPath(new URL(file, import.meta.url));
  const child = fork(path, [JSON.stringify(setup)], {
    execArgv: ['--expose-gc'],
    serialization: 'advanced',
  });
  const ready = (await nextTold(child)) as Extract<Reply, {kind: 'ready'}>;
  let last: Promise<unknown> = Promise.resolve();

  async function exchange(ask: Command): Promise<Reply> {
    const told = nextTold(child);
    child.send(ask);
    return told;
  }

  const one: StandInProcess = {
    address: ready.address,
    ask(ask) {
      const answer = last.then(() => exchange(ask));
      last = answer.catch(() => {});
      return answer as Promise<never>;
    },
    async usage() {
      const {usage} = await one.ask({kind: 'usage'});
      return usage;
    },
    async memory() {
      const {memory} = await one.ask({kind: 'memory'});
      return memory;
    },
    stop() {
      return new Promise(done => {
        child.once('exit', () => done());
        child.disconnect();
      });
    },
  };
  return one;
}

function nextTold(child: ChildProcess): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const end = (code: number | null) => {
      child.off('message', take);
      reject(new Error(`a stand-in process ended with ${code}`));
    };
    const take = (told: Reply) => {
      child.off('exit', end);
      resolve(told);
    };
    child.once('exit', end);
    child.once('message', take);
  });
}

/** Waits until processes together have `nodes` nodes at `version` or newer. */
export async function awaitSynced(
  processes: readonly StandInProcess[],
  nodes: number,
  version: number,
  limit = 40_000,
): Promise<boolean> {
  const end = Date.now() + limit;
  while (Date.now() < end) {
    const told = await Promise.all(
      processes.map(one => one.ask({kind: 'synced'})),
    );
    const synced = told.reduce((sum, one) => sum + one.nodes, 0);
    if (synced >= nodes && told.every(one => one.least >= version)) return true;
    await sleep(20);
  }
  return false;
}

/** Times from acceptance to force, in milliseconds. */
export interface Convergence {
  /** Of each node and change. */
  readonly p50: number;
  readonly p99: number;
  /** Of the last node of a change: its median and greatest. */
  readonly lastP50: number;
  readonly lastMax: number;
  /** Pairs of node and change that never came into force. */
  readonly missing: number;
}

/** Works out how long changes took; `switches` by process. */
export function findConvergence(
  changes: readonly AcceptedChange[],
  switches: ReadonlyArray<readonly Switch[]>,
  nodes: number,
): Convergence {
  const all: number[] = [];
  const lasts: number[] = [];
  const perNode = switches.flatMap(groupByNode);
  for (const change of changes) {
    const taken = perNode
      .map(own => own.find(({version}) => version >= change.version))
      .filter(one => one !== undefined)
      .map(one => one.at - change.at);
    all.push(...taken);
    lasts.push(Math.max(...taken));
  }
  return {
    p50: quantile(all, 0.5),
    p99: quantile(all, 0.99),
    lastP50: quantile(lasts, 0.5),
    lastMax: Math.max(...lasts),
    missing: nodes * changes.length - all.length,
  };
}

function groupByNode(switches: readonly Switch[]): Switch[][] {
  const groups = new Map<number, Switch[]>();
  for (const one of switches) {
    const group = groups.get(one.node);
    if (group === undefined) groups.set(one.node, [one]);
    else group.push(one);
  }
  return [...groups.values()];
}

/** The value below which a share of the values lie. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const at = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, at)] ?? NaN;
}

/** Slope and intercept by least squares. */
export function fitLine(points: ReadonlyArray<{x: number; y: number}>): {
  slope: number;
  intercept: number;
} {
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  let over = 0;
  let under = 0;
  for (const {x, y} of points) {
    over += (x - meanX) * (y - meanY);
    under += (x - meanX) ** 2;
  }
  const slope = over / under;
  return {slope, intercept: meanY - slope * meanX};
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Stops processes; waits for all. */
export async function stopAll(
  processes: readonly StandInProcess[],
): Promise<void> {
  await Promise.all(processes.map(one => one.stop()));
}

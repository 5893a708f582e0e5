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

/** A stand-in process that the bench started. */
export interface StandInProcess {
  readonly address: string;
  /** Sends a command and resolves with its reply. */
  ask<K extends Command['kind']>(
    command: Extract<Command, {kind: K}>,
  ): Promise<Extract<Reply, {kind: K}>>;
  usage(): Promise<Usage>;
  /** Bytes of heap and of buffers outside it, after a garbage collection. */
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

/** Starts a source, or a relay if the setup names sources. */
export function startHome(setup: Partial<HomeSetup>): Promise<StandInProcess> {
  return start('home-process.js', {name: 'home', ...homeDefaults, ...setup});
}

/** Starts a process with stand-in nodes. */
export function startNodes(setup: NodesSetup): Promise<StandInProcess> {
  return start('node-process.js', setup);
}

/** Starts a process with nodes that discard the configuration they receive. */
export function startHerd(setup: NodesSetup): Promise<StandInProcess> {
  return start('herd-process.js', setup);
}

async function start(file: string, setup: unknown): Promise<StandInProcess> {
  const path = fileURLToPath(new URL(file, import.meta.url));
  const child = fork(path, [JSON.stringify(setup)], {
    execArgv: ['--expose-gc'],
    serialization: 'advanced',
  });
  const ready = (await nextReply(child)) as Extract<Reply, {kind: 'ready'}>;
  let lastReply: Promise<unknown> = Promise.resolve();

  async function exchange(command: Command): Promise<Reply> {
    const reply = nextReply(child);
    child.send(command);
    return reply;
  }

  const standIn: StandInProcess = {
    address: ready.address,
    ask(command) {
      const answer = lastReply.then(() => exchange(command));
      lastReply = answer.catch(() => {});
      return answer as Promise<never>;
    },
    async usage() {
      const {usage} = await standIn.ask({kind: 'usage'});
      return usage;
    },
    async memory() {
      const {memory} = await standIn.ask({kind: 'memory'});
      return memory;
    },
    stop() {
      return new Promise(done => {
        child.once('exit', () => done());
        child.disconnect();
      });
    },
  };
  return standIn;
}

function nextReply(child: ChildProcess): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const onExit = (code: number | null) => {
      child.off('message', onMessage);
      reject(new Error(`a stand-in process ended with ${code}`));
    };
    const onMessage = (reply: Reply) => {
      child.off('exit', onExit);
      resolve(reply);
    };
    child.once('exit', onExit);
    child.once('message', onMessage);
  });
}

/**
 * Waits until the processes have `nodes` nodes in total and all are at
 * `version` or a newer one. Resolves with false after `limit` milliseconds.
 */
export async function awaitSynced(
  processes: readonly StandInProcess[],
  nodes: number,
  version: number,
  limit = 40_000,
): Promise<boolean> {
  const end = Date.now() + limit;
  while (Date.now() < end) {
    const replies = await Promise.all(
      processes.map(one => one.ask({kind: 'synced'})),
    );
    const synced = replies.reduce((sum, one) => sum + one.nodes, 0);
    if (synced >= nodes && replies.every(one => one.least >= version))
      return true;
    await sleep(20);
  }
  return false;
}

/** Milliseconds from the acceptance of a change until it is in force. */
export interface Convergence {
  /** Over all pairs of node and change. */
  readonly p50: number;
  readonly p99: number;
  /** Of the last node of each change: median and maximum. */
  readonly lastP50: number;
  readonly lastMax: number;
  /** Number of pairs of node and change that never came into force. */
  readonly missing: number;
}

/** Computes the convergence times; `switches` holds a list per process. */
export function findConvergence(
  changes: readonly AcceptedChange[],
  switches: ReadonlyArray<readonly Switch[]>,
  nodes: number,
): Convergence {
  const allTimes: number[] = [];
  const lastTimes: number[] = [];
  const perNode = switches.flatMap(groupByNode);
  for (const change of changes) {
    const times = perNode
      .map(nodeSwitches =>
        nodeSwitches.find(({version}) => version >= change.version),
      )
      .filter(one => one !== undefined)
      .map(one => one.at - change.at);
    allTimes.push(...times);
    lastTimes.push(Math.max(...times));
  }
  return {
    p50: quantile(allTimes, 0.5),
    p99: quantile(allTimes, 0.99),
    lastP50: quantile(lastTimes, 0.5),
    lastMax: Math.max(...lastTimes),
    missing: nodes * changes.length - allTimes.length,
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

/** The quantile of the values at `share`, a number from 0 to 1. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const at = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, at)] ?? NaN;
}

/** Fits a line by least squares. */
export function fitLine(points: ReadonlyArray<{x: number; y: number}>): {
  slope: number;
  intercept: number;
} {
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  let numerator = 0;
  let denominator = 0;
  for (const {x, y} of points) {
    numerator += (x - meanX) * (y - meanY);
    denominator += (x - meanX) ** 2;
  }
  const slope = numerator / denominator;
  return {slope, intercept: meanY - slope * meanX};
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Stops processes and waits until all have exited. */
export async function stopAll(
  processes: readonly StandInProcess[],
): Promise<void> {
  await Promise.all(processes.map(one => one.stop()));
}

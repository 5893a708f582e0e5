/** Processes of the request benches, started and ended by the bench. */
import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import type {Announcement} from '../../src/endpoints/messages.js';
import type {Command, Report, Started, Usage} from './messages.js';

/** One started process. */
export interface BenchProcess extends Started {
  usage(): Promise<Usage>;
  end(): void;
}

const program = new URL('./process.js', import.meta.url);

/** Starts a process and a part in it. */
export async function startBenchProcess(
  order: Command,
  execArgv: string[] = ['--expose-gc'],
): Promise<BenchProcess> {
  const child = fork(program, {execArgv});
  const started = (await ask(child, order)) as Started;
  return {
    ...started,
    usage: async () => (await ask(child, {kind: 'usage'})) as Usage,
    end: () => void child.kill(),
  };
}

function ask(child: ChildProcess, order: Command): Promise<Report> {
  return new Promise((resolve, reject) => {
    child.once('message', message => resolve(message as Report));
    child.once('exit', () => reject(new Error('a bench process ended')));
    child.send(order);
  });
}

/** The path that is measured: an upstream, its own node, and another node. */
export interface CallPath {
  readonly upstream: BenchProcess;
  /** The node beside the upstream: entry and gate in one. */
  readonly upstreamNode: BenchProcess;
  /** A node whose entry reaches the upstream over the other's gate. */
  readonly entry: BenchProcess;
}

/** Starts the path; the upstream answers at once with `bytes`. */
export async function startCallPath(
  seed: number,
  bytes: number,
): Promise<CallPath> {
  const instance = 'stock-desk-1';
  const upstream = await startBenchProcess({kind: 'upstream', work: 0, bytes});
  const beside = await startBenchProcess({
    kind: 'node',
    instance,
    upstream: upstream.address,
    instances: [benchAnnouncement(instance)],
    seed,
  });
  const entry = await startBenchProcess({
    kind: 'node',
    instance: 'caller-1',
    instances: [benchAnnouncement(instance, beside.gate)],
    seed,
  });
  return {upstream, upstreamNode: beside, entry};
}

/** An announcement of a bench instance; an empty gate means its own node's. */
export function benchAnnouncement(
  instance: string,
  gate = '',
  slots = 100,
): Announcement {
  return {
    instance,
    service: 'stock-desk',
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    gate,
    failureDomain: 'rusayl-a',
    region: 'muscat',
    slots,
    connections: 110,
    since: 0,
  };
}

/** Starts and stops the processes of the request benches. */
import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import type {Announcement} from '../../src/endpoints/messages.js';
import type {Command, Report, Started, Usage} from './messages.js';

/** A process that the bench started. */
export interface BenchProcess extends Started {
  usage(): Promise<Usage>;
  end(): void;
}

const program = new URL('./process.js', import.meta.url);

/** Starts a process and sends it its first command. */
export async function startBenchProcess(
  command: Command,
  execArgv: string[] = ['--expose-gc'],
): Promise<BenchProcess> {
  const child = fork(program, {execArgv});
  const started = (await ask(child, command)) as Started;
  return {
    ...started,
    usage: async () => (await ask(child, {kind: 'usage'})) as Usage,
    end: () => void child.kill(),
  };
}

function ask(child: ChildProcess, command: Command): Promise<Report> {
  return new Promise((resolve, reject) => {
    child.once('message', message => resolve(message as Report));
    child.once('exit', () => reject(new Error('a bench process ended')));
    child.send(command);
  });
}

/** The measured path: an upstream, the node beside it, and a caller's node. */
export interface CallPath {
  readonly upstream: BenchProcess;
  /** The node beside the upstream, with entry and gate. */
  readonly upstreamNode: BenchProcess;
  /** A node whose entry reaches the upstream through the other node's gate. */
  readonly entry: BenchProcess;
}

/** Starts the path; the upstream answers immediately with `bytes` bytes. */
export async function startCallPath(
  seed: number,
  bytes: number,
): Promise<CallPath> {
  const instance = 'stock-desk-1';
  const upstream = await startBenchProcess({kind: 'upstream', work: 0, bytes});
  const upstreamNode = await startBenchProcess({
    kind: 'node',
    instance,
    upstream: upstream.address,
    instances: [benchAnnouncement(instance)],
    seed,
  });
  const entry = await startBenchProcess({
    kind: 'node',
    instance: 'caller-1',
    instances: [benchAnnouncement(instance, upstreamNode.gate)],
    seed,
  });
  return {upstream, upstreamNode, entry};
}

/**
 * Announcement of a bench instance; an empty gate stands for its node's gate.
 */
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

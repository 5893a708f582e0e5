/** Processor time and memory of entry and gate, compared to a plain proxy. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {createRandom} from '../../src/random/random.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {compare} from '../experiment.js';
import {timeArrivals} from '../requests/arrivals.js';
import {startCallPath, startBenchProcess} from '../requests/processes.js';
import type {BenchProcess} from '../requests/processes.js';

const rate = 1000;
const bytes = 500;
const warmSeconds = 2;
const idleConnections = 1000;
const microsecondsPerSecond = 1e6;

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const {
    upstream,
    upstreamNode: gate,
    entry,
  } = await startCallPath(seed, bytes);
  const bare = await startBenchProcess({
    kind: 'bare',
    target: upstream.address,
  });
  const duration = seconds / 3 - warmSeconds;
  const bareTime = await costOf(bare, bare, duration, seed);
  const oneHop = await costOf(gate, gate, duration, seed);
  const entryTime = await costOf(entry, entry, duration, seed);
  const rows: Row[] = [
    {figure: 'processor time a call, bare hop', unit: 'us', value: bareTime},
    compare(
      'processor time a call, entry and own gate',
      'us',
      oneHop,
      bareTime,
    ),
    compare(
      'processor time a call, entry to a gate',
      'us',
      entryTime,
      bareTime,
    ),
    compare(
      'calls a second of a core, entry to a gate',
      '1/s',
      microsecondsPerSecond / entryTime,
      microsecondsPerSecond / bareTime,
    ),
    await memoryRow(bare, entry),
  ];
  for (const started of [upstream, bare, gate, entry]) started.end();
  return {rows};
}

/** Microseconds of processor time in `measured` per call to `target`. */
async function costOf(
  measured: BenchProcess,
  target: BenchProcess,
  seconds: number,
  seed: number,
): Promise<number> {
  const targets = [{name: 'path', address: target.address, path: '/stock/7'}];
  const random = createRandom(seed);
  await timeArrivals({targets, rate, seconds: warmSeconds, random});
  const before = await measured.usage();
  const timed = await timeArrivals({targets, rate, seconds, random});
  const after = await measured.usage();
  const calls = timed.get('path')!.latency.totalCount;
  return (after.processor - before.processor) / calls;
}

async function memoryRow(
  bare: BenchProcess,
  entry: BenchProcess,
): Promise<Row> {
  const bareBytes = await memoryOf(bare);
  const entryBytes = await memoryOf(entry);
  return compare('heap of an idle connection', 'B', entryBytes, bareBytes);
}

async function memoryOf(measured: BenchProcess): Promise<number> {
  const before = await measured.usage();
  const sockets = await openIdle(measured.address);
  const after = await measured.usage();
  for (const socket of sockets) socket.destroy();
  return (after.heap - before.heap) / idleConnections;
}

/** Opens connections, sends one request on each, and leaves them idle. */
function openIdle(address: string): Promise<Socket[]> {
  const [host, port] = address.split(':');
  const opened = Array.from({length: idleConnections}, () => {
    const socket = connect(Number(port), host);
    socket.write('GET /stock/7 HTTP/1.1\r\nhost: stock\r\n\r\n');
    return new Promise<Socket>(resolve =>
      socket.once('data', () => resolve(socket)),
    );
  });
  return Promise.all(opened);
}

export const experiment: Experiment = {
  name: 'request-cost',
  about: 'processor time and memory of entry and gate',
  baseline: 'a hop of node:http that forwards and decides nothing',
  seconds: 24,
  run,
};

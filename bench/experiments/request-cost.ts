/** Processor time and memory of entry and gate, against a bare hop. */
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
  const each = seconds / 3 - warmSeconds;
  const bareTime = await costOf(bare, bare, each, seed);
  const oneHop = await costOf(gate, gate, each, seed);
  const entryTime = await costOf(entry, entry, each, seed);
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
  for (const part of [upstream, bare, gate, entry]) part.end();
  return {rows};
}

/** Microseconds of processor time that `part` takes for a call to `target`. */
async function costOf(
  part: BenchProcess,
  target: BenchProcess,
  seconds: number,
  seed: number,
): Promise<number> {
  const targets = [{name: 'way', address: target.address, path: '/stock/7'}];
  const random = createRandom(seed);
  await timeArrivals({targets, rate, seconds: warmSeconds, random});
  const before = await part.usage();
  const timed = await timeArrivals({targets, rate, seconds, random});
  const after = await part.usage();
  const calls = timed.get('way')!.latency.totalCount;
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

async function memoryOf(part: BenchProcess): Promise<number> {
  const before = await part.usage();
  const sockets = await openIdle(part.address);
  const after = await part.usage();
  for (const socket of sockets) socket.destroy();
  return (after.heap - before.heap) / idleConnections;
}

/** Opens connections that have carried one request each. */
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

import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {build} from 'hdr-histogram-js';
import {createConsensus} from '../../src/consensus/create-consensus.js';
import {createFolderDisk} from '../../src/disk/folder-disk.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import type {Result} from '../../src/result/failure.js';
import {createTimers} from '../../src/time/timers.js';
import type {
  HostOptions,
  LoadReport,
  Reply,
  Request,
  View,
} from './messages.js';
import {createRegister, encodeChange} from './register.js';

/**
 * Runs one member of a control group as a separate process, for bench and
 * tests.
 */

const options = JSON.parse(process.argv[2]!) as HostOptions;
const register = createRegister();
let appliedIndex = 0;

const consensus = await createConsensus({
  ...options,
  disk: await createFolderDisk(options.folder),
  network: createTcpNetwork(),
  timers: createTimers(),
  random: createRandom(process.pid),
  log: createLog(options.self.name, 'error'),
  machine: register,
  onFailure: failure => process.exit(failure.code.number % 256),
});
const openedAt = performance.timeOrigin + performance.now();
consensus.onApplied(index => (appliedIndex = index));
appliedIndex = consensus.status().commitIndex;

async function load(request: Request & {kind: 'load'}): Promise<LoadReport> {
  const {count, concurrency, bytes, names} = request;
  const histogram = build();
  const text = 'x'.repeat(bytes);
  let next = 0;
  let accepted = 0;
  const start = performance.now();

  async function proposeRepeatedly(): Promise<void> {
    while (next < count) {
      const name = `name-${next++ % names}`;
      const startedAt = performance.now();
      const result = await consensus.propose(encodeChange(name, text));
      histogram.recordValue((performance.now() - startedAt) * 1000);
      if (result.ok) accepted++;
    }
  }

  await Promise.all(Array.from({length: concurrency}, proposeRepeatedly));
  return {
    accepted,
    duration: performance.now() - start,
    p50: histogram.getValueAtPercentile(50) / 1000,
    p99: histogram.getValueAtPercentile(99) / 1000,
  };
}

function createView(): View {
  const status = consensus.status();
  const {user, system} = process.cpuUsage();
  return {
    ...status,
    appliedIndex,
    voters: status.voters.map(({name}) => name),
    learners: status.learners.map(({name}) => name),
    digest: register.digest(),
    processor: (user + system) / 1000,
    memory: process.memoryUsage.rss(),
    openedAt,
  };
}

const fromResult = (result: Result<unknown>): Omit<Reply, 'id'> =>
  result.ok ? {value: result.value ?? null} : {code: result.code.number};

async function execute(request: Request): Promise<Omit<Reply, 'id'>> {
  switch (request.kind) {
    case 'propose': {
      const change = encodeChange(request.name, request.text);
      const result = await consensus.propose(change);
      return result.ok ? {value: true} : {code: result.code.number};
    }
    case 'load':
      return {value: await load(request)};
    case 'read':
      return fromResult(await consensus.readBarrier());
    case 'get':
      return {value: register.get(request.name) ?? null};
    case 'view':
      return {value: createView()};
    case 'stop':
      await consensus.stop();
      setImmediate(() => process.exit(0));
      return {value: true};
    case 'replace':
      return fromResult(
        await consensus.replace(request.leaving, request.joining),
      );
  }
}

process.on('message', ({id, request}: {id: number; request: Request}) => {
  void execute(request).then(reply => process.send!({id, ...reply}));
});
process.on('disconnect', () => process.exit(0));
process.send!({id: 0, value: 'started'});

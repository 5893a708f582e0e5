import {monitorEventLoopDelay, performance} from 'node:perf_hooks';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {build} from 'hdr-histogram-js';
import type {Claims} from '../../src/claims/claims.js';
import {createClaimTable} from '../../src/claims/claim-table.js';
import {createKeeper} from '../../src/claims/keeper.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createSilentLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {percentilesOf} from '../callers/load.js';
import type {Percentiles} from '../callers/load.js';
import {createFarNetwork} from '../claims/far-network.js';
import type {Traffic} from '../claims/far-network.js';
import {
  createGatePlacement,
  createKeeperPlacement,
  createLogPlacement,
} from '../claims/placements.js';
import type {Placement} from '../claims/placements.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Claims per second: the requests with keys at a busy gate. */
const rate = 200;
/** One-way delays between failure domains in milliseconds. */
const distances = [0, 1];
const answer = {
  status: 200,
  headers: [{name: 'content-type', value: 'application/json'}],
  body: Buffer.alloc(300, 'x'),
};
const memoryClaims = 20_000;
const idleTime = 1000;

interface Measured {
  readonly latency: Percentiles;
  /** Bytes and messages on all links per claim, including its settlement. */
  readonly bytes: number;
  readonly messages: number;
  /** Microseconds of processor time per claim, all processes together. */
  readonly processor: number;
}

const timers = createTimers();
const wait = (time: number) =>
  new Promise<void>(done => timers.after(time, done));

/** Acquires and completes claims that arrive at random times. */
async function load(
  claims: Claims,
  name: string,
  duration: number,
  seed: number,
): Promise<{latency: Percentiles; count: number}> {
  const random = createRandom(seed);
  const histogram = build({numberOfSignificantValueDigits: 3});
  const pendingClaims: Array<Promise<void>> = [];
  const start = timers.now();
  let next = start;
  let count = 0;

  async function acquire(key: string): Promise<void> {
    const startedAt = performance.now();
    const deadline = timers.now() + 5000;
    const acquired = await claims.acquire({
      service: 'stock-desk',
      key,
      fingerprint: 'f'.repeat(43),
      deadline,
    });
    if (acquired.kind !== 'granted') throw new Error(acquired.kind);
    const microseconds = (performance.now() - startedAt) * 1000;
    histogram.recordValue(Math.max(1, Math.round(microseconds)));
    acquired.claim.complete(answer);
  }

  while (next - start < duration) {
    const pause = next - timers.now();
    if (pause > 0) await wait(pause);
    for (; next <= timers.now(); next += gap()) {
      pendingClaims.push(acquire(`${name}-key-${count++}`));
    }
  }
  await Promise.all(pendingClaims);
  return {latency: percentilesOf(histogram), count};

  function gap(): number {
    return (-Math.log(1 - random.fraction()) * 1000) / rate;
  }
}

async function measure(
  placement: Placement,
  traffic: Traffic,
  duration: number,
  seed: number,
): Promise<Measured> {
  await load(placement.claims, 'warm', 500, seed + 1);
  await wait(100);
  const idle = {...traffic};
  await wait(idleTime);
  const idleBytes = (traffic.bytes - idle.bytes) / idleTime;
  const idleMessages = (traffic.messages - idle.messages) / idleTime;
  const before = {...traffic};
  const processor = process.cpuUsage();
  const startedAt = timers.now();
  const {latency, count} = await load(placement.claims, 'run', duration, seed);
  await wait(100);
  const used = process.cpuUsage(processor);
  const time = timers.now() - startedAt;
  if (placement.sizes().some(size => size < count * 0.99)) {
    throw new Error(`claims held: ${placement.sizes().join(', ')} of ${count}`);
  }
  const bytes = traffic.bytes - before.bytes - idleBytes * time;
  const messages = traffic.messages - before.messages - idleMessages * time;
  return {
    latency,
    bytes: bytes / count,
    messages: messages / count,
    processor: (used.user + used.system) / count,
  };
}

/** Bytes of memory that one settled claim takes at one keeper. */
function measureMemory(bodyBytes: number): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  const limits = {retention: 900_000, claims: 2 * memoryClaims, watchers: 16};
  const table = createClaimTable(timers, limits);
  collect();
  const before = process.memoryUsage();
  for (let index = 0; index < memoryClaims; index++) {
    const work = {
      service: 'stock-desk',
      key: `4fd1a3c0-5b5e-4b0e-9a51-${index}`,
      fingerprint: `${index}`.padEnd(43, 'f'),
      claim: `stock-desk-1/1764700000000/${index}`,
    };
    table.vote({kind: 'acquire', epoch: 1, lease: 1000, ...work});
    const body = new Uint8Array(bodyBytes);
    const storedAnswer = {status: 200, headers: [], body};
    table.settle({
      kind: 'settle',
      settlement: {kind: 'answered', answer: storedAnswer},
      ...work,
    });
  }
  collect();
  const after = process.memoryUsage();
  const heap = after.heapUsed - before.heapUsed;
  const buffers = after.arrayBuffers - before.arrayBuffers;
  return (heap + buffers) / table.size;
}

interface HandoverCost {
  /**
   * Milliseconds from the assignment of a new keeper until it has all claims.
   */
  readonly time: number;
  /** Longest delay of the event loop meanwhile, in milliseconds. */
  readonly standstill: number;
}

async function measureHandover(claims: number): Promise<HandoverCost> {
  const network = createTcpNetwork();
  const placement = await createKeeperPlacement(timers, network);
  const {assignment} = placement;
  for (let index = 0; index < claims; index++) {
    const acquired = await placement.claims.acquire({
      service: 'stock-desk',
      key: `key-${index}`,
      fingerprint: 'f'.repeat(43),
      deadline: timers.now() + 5000,
    });
    if (acquired.kind === 'granted') acquired.claim.complete(answer);
  }
  await wait(200);
  const [, ...staying] = assignment.members;
  const self = {
    instance: 'stock-desk-9',
    incarnation: 9,
    address: '127.0.0.1:24399',
    failureDomain: 'rusayl-a',
  };
  const limits = {retention: 900_000, claims: 2 * claims, watchers: 16};
  const log = createSilentLog();
  const keeper = await createKeeper({self, network, timers, log, limits});
  const delay = monitorEventLoopDelay({resolution: 1});
  delay.enable();
  const startedAt = performance.now();
  keeper.assign('stock-desk', {
    epoch: 2,
    members: [self, ...staying],
    previous: assignment,
  });
  while (keeper.size < claims) await wait(1);
  const time = performance.now() - startedAt;
  delay.disable();
  await keeper.stop();
  await placement.stop();
  return {time, standstill: delay.max / 1e6};
}

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const duration = (seconds * 1000) / (3 * distances.length);
  const rows: Row[] = [];
  for (const distance of distances) {
    const traffic = {bytes: 0, messages: 0};
    const network = createFarNetwork(
      createTcpNetwork(),
      distance,
      timers,
      traffic,
    );
    const results = new Map<string, Measured>();
    for (const [name, create] of [
      ['gate', async () => createGatePlacement(timers)],
      ['keepers', () => createKeeperPlacement(timers, network)],
      ['log', () => createLogPlacement(timers, network)],
    ] as const) {
      const placement = await create();
      results.set(name, await measure(placement, traffic, duration, seed));
      await placement.stop();
    }
    rows.push(...describe(distance, results));
  }
  rows.push(
    {
      figure: 'memory of a settled claim, empty answer',
      unit: 'B',
      value: measureMemory(0),
    },
    {
      figure: 'memory of a settled claim, answer of 300 B',
      unit: 'B',
      value: measureMemory(300),
    },
  );
  for (const claims of [1000, 10_000]) {
    const {time, standstill} = await measureHandover(claims);
    const figure = `handover of ${claims} claims to a new keeper`;
    rows.push(
      {figure, unit: 'ms', value: time},
      {figure: `${figure}, longest standstill`, unit: 'ms', value: standstill},
    );
  }
  return {
    rows,
    counts: {'claims a second': rate},
    notes: [
      'gate and keepers, or gate and control group, run in one process, so the processor time is their sum',
      'the log is on this machine’s disk and synced by each member',
    ],
  };
}

function describe(
  distance: number,
  results: ReadonlyMap<string, Measured>,
): Row[] {
  const baseline = results.get('gate')!;
  const rows: Row[] = [];
  for (const [name, measured] of results) {
    const place = `${name}, ${distance} ms one way`;
    const add = (figure: string, unit: string, pick: (m: Measured) => number) =>
      rows.push(
        name === 'gate'
          ? {figure: `${figure}, ${place}`, unit, value: pick(measured)}
          : compare(
              `${figure}, ${place}`,
              unit,
              pick(measured),
              pick(baseline),
            ),
      );
    add('claim p50', 'ms', one => one.latency.p50);
    add('claim p99', 'ms', one => one.latency.p99);
    add('processor time', 'us', one => one.processor);
    const {bytes, messages} = measured;
    if (name === 'gate') continue;
    rows.push({figure: `bytes a claim, ${place}`, unit: 'B', value: bytes});
    rows.push({
      figure: `messages a claim, ${place}`,
      unit: '',
      value: messages,
    });
  }
  return rows;
}

/**
 * Latency, traffic and processor time of claims by the place that stores them.
 */
export const experiment: Experiment = {
  name: 'claims-placement',
  about: 'idempotency claims at the gate, with keepers, in the log',
  baseline: 'claims in the gate’s own memory',
  seconds: 36,
  run,
};

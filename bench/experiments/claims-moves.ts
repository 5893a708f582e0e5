import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';
import {createClaims} from '../../src/claims/create-claims.js';
import {createKeeper} from '../../src/claims/keeper.js';
import type {ClaimKeeper} from '../../src/claims/keeper.js';
import type {
  Keeper,
  KeeperAssignment,
} from '../../src/configuration/configuration.js';
import type {KnownInstance} from '../../src/endpoints/messages.js';
import {planKeepers} from '../../src/keepers/plan.js';
import type {ServiceView} from '../../src/keepers/plan.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createSilentLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {percentilesOf} from '../callers/load.js';
import type {Percentiles} from '../callers/load.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';

/** Claims per second. */
const rate = 200;
const service = 'stock-desk';
const answer = {status: 200, headers: [], body: Buffer.alloc(300, 'x')};
const domains = ['rusayl-a', 'rusayl-b', 'seeb-c', 'rusayl-a'];
const firstPort = 24_380;
/**
 * Number of services that the project is designed for, and instances of each.
 */
const services = 710;
const instances = 10;
/** Number of repetitions over which the planning time is averaged. */
const planningRounds = 20;

const timers = createTimers();
const network = createTcpNetwork();
const log = createSilentLog();
const wait = (time: number) =>
  new Promise<void>(done => timers.after(time, done));

/** Creates four keepers, three of which are in the first set, and a gate. */
async function createCluster() {
  const identities: Keeper[] = [];
  const keepers: ClaimKeeper[] = [];
  for (const [index, failureDomain] of domains.entries()) {
    const self = {
      instance: `stock-desk-${index + 1}`,
      incarnation: index + 1,
      address: `127.0.0.1:${firstPort + index}`,
      failureDomain,
    };
    const limits = {retention: 900_000, claims: 100_000, watchers: 16};
    identities.push(self);
    keepers.push(await createKeeper({self, network, timers, log, limits}));
  }
  let current: KeeperAssignment = {epoch: 1, members: identities.slice(0, 3)};
  const claims = createClaims({
    self: 'gate/1',
    network,
    timers,
    random: createRandom(1),
    log,
    assignment: () => current,
  });

  function assign(next: KeeperAssignment): void {
    current = next;
    for (const keeper of keepers) keeper.assign(service, next);
  }

  /** Replaces one keeper of the set by the one that is outside of it. */
  function replaceKeeper(): void {
    const {epoch, members} = current;
    const outside = identities.find(one => !members.includes(one))!;
    const previous = {epoch, members};
    assign({
      epoch: epoch + 1,
      members: [...members.slice(1), outside],
      previous,
    });
  }

  assign(current);
  return {
    claims,
    replaceKeeper,
    async stop() {
      claims.stop();
      for (const keeper of keepers) await keeper.stop();
    },
  };
}

type Cluster = Awaited<ReturnType<typeof createCluster>>;

interface Measured {
  readonly latency: Percentiles;
  readonly refused: number;
}

/**
 * Acquires claims for `duration` milliseconds; a keeper is replaced each
 * `period` milliseconds, or never if `period` is 0.
 */
async function load(
  {claims, replaceKeeper}: Cluster,
  name: string,
  duration: number,
  period: number,
  seed: number,
): Promise<Measured> {
  const random = createRandom(seed);
  const histogram = build({numberOfSignificantValueDigits: 3});
  const pendingClaims: Array<Promise<void>> = [];
  const moving = period > 0 ? timers.every(period, replaceKeeper) : undefined;
  const start = timers.now();
  let refused = 0;
  let count = 0;

  async function acquire(key: string): Promise<void> {
    const startedAt = performance.now();
    const deadline = timers.now() + 2000;
    const fingerprint = 'f'.repeat(43);
    const acquired = await claims.acquire({
      service,
      key,
      fingerprint,
      deadline,
    });
    histogram.recordValue(Math.round((performance.now() - startedAt) * 1000));
    if (acquired.kind === 'granted') acquired.claim.complete(answer);
    else refused++;
  }

  for (let next = start; next - start < duration;) {
    const pause = next - timers.now();
    if (pause > 0) await wait(pause);
    for (; next <= timers.now(); next += gap()) {
      pendingClaims.push(acquire(`${name}-${count++}`));
    }
  }
  moving?.cancel();
  await Promise.all(pendingClaims);
  return {latency: percentilesOf(histogram), refused};

  function gap(): number {
    return (-Math.log(1 - random.fraction()) * 1000) / rate;
  }
}

async function fill({claims}: Cluster, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    const deadline = timers.now() + 5000;
    const key = `held-${index}`;
    const work = {service, key, fingerprint: 'f'.repeat(43), deadline};
    const acquired = await claims.acquire(work);
    if (acquired.kind === 'granted') acquired.claim.complete(answer);
  }
}

/**
 * Milliseconds that the leader needs to plan the keepers of all services once.
 */
function measurePlanning(): number {
  const views = Array.from({length: services}, (_, number) =>
    createView(`service-${number}`),
  );
  const startedAt = performance.now();
  for (let round = 0; round < planningRounds; round++)
    views.forEach(planKeepers);
  return (performance.now() - startedAt) / planningRounds;
}

function createView(name: string): ServiceView {
  const knownInstances = Array.from({length: instances}, (_, index) =>
    createInstance(name, index),
  );
  const view = {
    service: name,
    current: undefined,
    instances: knownInstances,
    missing: new Set<string>(),
    retention: 900_000,
    nextEpoch: 2,
    isSettled: true,
  };
  const plan = planKeepers(view);
  const current = plan.kind === 'appoint' ? plan.next : undefined;
  return {...view, current};
}

function createInstance(name: string, index: number): KnownInstance {
  const instance = `${name}-${index}`;
  return {
    instance,
    service: name,
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    gate: `${instance}:1`,
    failureDomain: `domain-${index % 7}`,
    region: 'muscat',
    slots: 20,
    connections: 110,
    since: 0,
    keeper: {address: `${instance}:2`, incarnation: 1},
  };
}

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const rows: Row[] = [];
  const duration = (seconds * 1000) / 4;
  for (const held of [0, 5000]) {
    const cluster = await createCluster();
    await load(cluster, 'warm', 500, 0, seed + 1);
    await fill(cluster, held);
    const stable = await load(cluster, 'still', duration, 0, seed);
    const moving = await load(cluster, 'moving', duration, 1000, seed);
    await cluster.stop();
    const add = (figure: string, pick: (one: Measured) => number) =>
      rows.push(
        compare(`${figure}, ${held} held`, 'ms', pick(moving), pick(stable)),
      );
    add('claim p50 while keepers move', one => one.latency.p50);
    add('claim p99 while keepers move', one => one.latency.p99);
    add('longest claim while keepers move', one => one.latency.max);
    rows.push({
      figure: `refused while keepers move, ${held} held`,
      unit: '',
      value: moving.refused,
    });
  }
  rows.push({
    figure: `a look at ${services} services whose sets are whole`,
    unit: 'ms',
    value: measurePlanning(),
  });
  return {
    rows,
    counts: {'claims a second': rate, 'moves a second': 1},
    notes: ['all keepers and the gate run in one process'],
  };
}

/**
 * Cost of keeper replacements for requests with keys, and of planning at the
 * leader.
 */
export const experiment: Experiment = {
  name: 'claims-moves',
  about:
    'requests with idempotency keys while one keeper per second is replaced',
  baseline: 'the same load on keepers that stay',
  seconds: 24,
  run,
};

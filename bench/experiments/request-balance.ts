/**
 * Balancing rules at the size of the agency deployment: nine crewbook instances
 * of ten slots behind their gates, and thirty entries. The experiment runs only
 * the decisions, on fake timers.
 */
import {createAdmission} from '../../src/request/decisions/admission.js';
import type {Admission} from '../../src/request/decisions/admission.js';
import {
  createLeastOutstandingBalancer,
  createPowerOfTwoBalancer,
  createRandomBalancer,
  createRoundRobinBalancer,
} from '../../src/request/decisions/balancer.js';
import type {Balancer} from '../../src/request/decisions/balancer.js';
import {requestCodes} from '../../src/request/messages/codes.js';
import {createInstancePool} from '../../src/request/decisions/instance-pool.js';
import type {InstancePool} from '../../src/request/decisions/instance-pool.js';
import type {Configuration} from '../../src/configuration/configuration.js';
import {createSilentLog} from '../../src/log/log.js';
import type {Code} from '../../src/result/code.js';
import type {Announcement} from '../../src/endpoints/messages.js';
import {createRandom} from '../../src/random/random.js';
import type {Random} from '../../src/random/random.js';
import {createFakeTimers} from '../../src/time/fakes/fake-timers.js';
import type {FakeTimers} from '../../src/time/fakes/fake-timers.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {compare} from '../experiment.js';
import {benchAnnouncement} from '../requests/processes.js';

/** A balancing rule with its parameters. */
interface Rule {
  readonly name: string;
  readonly create: (random: Random) => Balancer;
  /**
   * Milliseconds in which a reported gate load loses its weight; 0 ignores it.
   */
  readonly loadAge: number;
  /**
   * Utilization up to which instances of the own failure domain are preferred.
   */
  readonly localLimit: number;
}

/** A fault of the first instance. */
interface Fault {
  readonly name: string;
  /** Factor on the duration of the first instance's work. */
  readonly slowness: number;
  /** Share of the work that fails immediately at the first instance. */
  readonly failing: number;
}

const instanceCount = 9;
/** Entries that call the service: at the agency, and at the design size. */
const entryCounts = [30, 300];
const slots = 10;
const work = 40;
const deadline = 1_000;
/** One-way delays in milliseconds, within and between failure domains. */
const localDelay = 0.1;
const remoteDelay = 1;
const domains = ['hall-a', 'hall-b', 'hall-c'];
const loads = [0.7, 0.9];
/** Simulated milliseconds per point for each second of `RunOptions.seconds`. */
const modelTime = 2_000;

const powerOfTwo: Rule = {
  name: 'power of two, load aged 1 s',
  create: createPowerOfTwoBalancer,
  loadAge: 1_000,
  localLimit: 0,
};
const rules: readonly Rule[] = [
  {...powerOfTwo, name: 'random', create: createRandomBalancer},
  {...powerOfTwo, name: 'round robin', create: createRoundRobinBalancer},
  {
    ...powerOfTwo,
    name: 'least outstanding',
    create: createLeastOutstandingBalancer,
  },
  {...powerOfTwo, name: 'power of two, own work', loadAge: 0},
  powerOfTwo,
  {...powerOfTwo, name: 'power of two, load aged 3 s', loadAge: 3_000},
  {...powerOfTwo, name: 'power of two, load aged 10 s', loadAge: 10_000},
  {
    ...powerOfTwo,
    name: 'load aged 3 s, near up to 0.7',
    loadAge: 3_000,
    localLimit: 0.7,
  },
  {
    ...powerOfTwo,
    name: 'load aged 10 s, near up to 0.7',
    loadAge: 10_000,
    localLimit: 0.7,
  },
];
const faults: readonly Fault[] = [
  {name: 'all well', slowness: 1, failing: 0},
  {name: 'one 5 times slower', slowness: 5, failing: 0},
  {name: 'one failing fast', slowness: 1, failing: 1},
];

const configuration: Configuration = {
  version: 1,
  services: new Map([['stock-desk', {name: 'stock-desk', slowStart: 0}]]),
  routes: new Map(),
  policies: new Map(),
  drains: new Map(),
  workspaces: new Map(),
  quarantines: new Map(),
  rollouts: new Map(),
} as unknown as Configuration;

/** The parameters of one measured point, other than the rule. */
interface Point {
  readonly entries: number;
  readonly fault: Fault;
  /** Offered work divided by the capacity of all instances. */
  readonly load: number;
}

interface Result {
  readonly mean: number;
  readonly p99: number;
  /** Share of calls that were refused or failed. */
  readonly lost: number;
}

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const rows: Row[] = [];
  const points = entryCounts.flatMap(entries =>
    faults.flatMap(fault => loads.map(load => ({entries, fault, load}))),
  );
  for (const point of points) {
    const {entries, fault, load} = point;
    const results = rules.map(rule =>
      simulate(rule, point, seconds * modelTime, seed),
    );
    const baseline = results[0]!;
    rules.forEach((rule, index) => {
      const at = `${entries} entries, ${fault.name}, ${load}x, ${rule.name}`;
      const {mean, p99, lost} = results[index]!;
      rows.push(compare(`mean: ${at}`, 'ms', mean, baseline.mean));
      rows.push(compare(`p99: ${at}`, 'ms', p99, baseline.p99));
      rows.push({figure: `lost: ${at}`, unit: 'share', value: lost});
    });
  }
  return {
    rows,
    notes: [
      'decisions on fake timers; the results do not depend on the machine',
    ],
  };
}

function simulate(
  rule: Rule,
  {entries: entryCount, fault, load}: Point,
  duration: number,
  seed: number,
): Result {
  const timers = createFakeTimers(1);
  const random = createRandom(seed);
  const announcements = domainsOf(instanceCount).map(
    (failureDomain, index) => ({
      ...benchAnnouncement(`crewbook-${index + 1}`, '', slots),
      failureDomain,
    }),
  );
  const gates = new Map(
    announcements.map(({instance}) => [instance, createSlots(timers)]),
  );
  const entries = domainsOf(entryCount).map(failureDomain => ({
    failureDomain,
    pool: createEntryPool(rule, failureDomain, announcements, timers, random),
  }));
  const latencies: number[] = [];
  let offered = 0;
  let lost = 0;

  function call(): void {
    const entry = random.pick(entries);
    const target = entry.pool.choose('stock-desk', configuration, new Set())!;
    const {instance, failureDomain} = target.announcement;
    const oneWay =
      failureDomain === entry.failureDomain ? localDelay : remoteDelay;
    const startedAt = timers.now();
    const gate = gates.get(instance)!;
    const isFaulty = instance === announcements[0]!.instance;
    offered++;
    target.began();
    const answer = (code: Code | undefined, status: number) =>
      timers.after(oneWay, () => {
        if (rule.loadAge > 0) target.updateLoad(gate.load);
        target.ended(code, status);
        if (code === undefined && status === 200)
          latencies.push(timers.now() - startedAt);
        else lost++;
      });
    timers.after(oneWay, () => {
      if (isFaulty && random.fraction() < fault.failing) {
        answer(undefined, 500);
        return;
      }
      const factor = isFaulty ? fault.slowness : 1;
      const duration = exponential(work * factor, random);
      gate.offer({
        rank: 'normal',
        deadline: startedAt + deadline,
        refuse: () => answer(requestCodes.full, 503),
        start: () =>
          timers.after(duration, () => {
            gate.done(duration);
            answer(undefined, 200);
          }),
      });
    });
  }

  const gap = work / (slots * instanceCount) / load;
  for (
    let scheduledAt = 0;
    scheduledAt < duration;
    scheduledAt += exponential(gap, random)
  ) {
    timers.advance(Math.max(0, scheduledAt - timers.now()));
    call();
  }
  timers.advance(deadline * 2);
  latencies.sort((left, right) => left - right);
  const sum = latencies.reduce((total, latency) => total + latency, 0);
  return {
    mean: sum / latencies.length,
    p99: latencies[Math.floor(latencies.length * 0.99)]!,
    lost: lost / offered,
  };
}

function createSlots(timers: FakeTimers): Admission {
  return createAdmission({slots, queueLength: 64, clock: timers});
}

function createEntryPool(
  rule: Rule,
  failureDomain: string,
  announcements: readonly Announcement[],
  timers: FakeTimers,
  random: Random,
): InstancePool {
  return createInstancePool({
    failureDomain,
    endpoints: {instances: () => announcements, onChange: () => {}},
    balancer: rule.create(random),
    random,
    timers,
    log: createSilentLog(),
    localLimit: rule.localLimit,
    loadAge: rule.loadAge || 1,
  });
}

function domainsOf(count: number): string[] {
  return Array.from({length: count}, (_none, index) => domains[index % 3]!);
}

function exponential(mean: number, random: Random): number {
  return -Math.log(1 - random.fraction()) * mean;
}

export const experiment: Experiment = {
  name: 'request-balance',
  about: 'balancing rules and local preference at the agency’s size',
  baseline: 'an instance by chance',
  seconds: 10,
  run,
};

/**
 * The gate's queue at loads from half to three times the capacity of its
 * upstream. The experiment runs only the decisions, on fake timers, so that its
 * results do not depend on the machine.
 */
import {createAdmission} from '../../src/request/decisions/admission.js';
import type {Order} from '../../src/request/decisions/admission.js';
import type {Priority} from '../../src/configuration/configuration.js';
import {createRandom} from '../../src/random/random.js';
import type {Random} from '../../src/random/random.js';
import {createFakeTimers} from '../../src/time/fakes/fake-timers.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {compare} from '../experiment.js';

/**
 * A queue discipline. `floor` and `reserve` are those of `AdmissionOptions`;
 * without `byPriority` all work has the same priority.
 */
interface Discipline {
  readonly name: string;
  readonly byPriority: boolean;
  readonly deadlineTest: boolean;
  readonly order: Order;
  readonly floor: number;
  readonly reserve: number;
  readonly queueLength: number;
}

/** One kind of work at drillvault, a service of the agency deployment. */
interface Kind {
  readonly priority: Priority;
  readonly share: number;
  /** Average duration in milliseconds. */
  readonly work: number;
  /** Milliseconds within which the caller needs the answer. */
  readonly deadline: number;
}

const slots = 10;
const kinds: readonly Kind[] = [
  {priority: 'critical', share: 0.2, work: 30, deadline: 300},
  {priority: 'normal', share: 0.5, work: 50, deadline: 1000},
  {priority: 'background', share: 0.3, work: 100, deadline: 3000},
];
const loads = [0.5, 0.8, 1, 1.5, 2, 3];
/** Simulated milliseconds per point for each second of `RunOptions.seconds`. */
const modelTime = 6_000;

const production: Discipline = {
  name: 'priority, floor, deadline test',
  byPriority: true,
  deadlineTest: true,
  order: 'fifo',
  floor: 0.1,
  reserve: 0,
  queueLength: 64,
};
const plain: Discipline = {
  ...production,
  name: 'arrival order alone',
  byPriority: false,
  deadlineTest: false,
  floor: 0,
};
const disciplines: readonly Discipline[] = [
  plain,
  {...plain, name: 'newest first alone', order: 'lifo'},
  {...plain, name: 'arrival order, deadline test', deadlineTest: true},
  {...production, name: 'priority alone', deadlineTest: false, floor: 0},
  {...production, name: 'priority, deadline test', floor: 0},
  production,
  {...production, name: 'the same, newest first', order: 'lifo'},
  {...production, name: 'the same, one slot reserved', reserve: 1},
  {...production, name: 'the same, queue of 16', queueLength: 16},
  {...production, name: 'the same, queue of 32', queueLength: 32},
  {...production, name: 'the same, queue of 256', queueLength: 256},
];

/** Results at one load. */
interface Result {
  /** Work that ended in time, divided by the capacity of the slots. */
  readonly goodput: number;
  /** Share of the work that ended in time, by priority. */
  readonly inTime: Record<Priority, number>;
  /** p99 latency of answered critical work in milliseconds. */
  readonly criticalP99: number;
  /** Longest time until a refusal in milliseconds. */
  readonly slowestRefusal: number;
}

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const rows: Row[] = [];
  const series = disciplines.map(discipline => ({
    name: discipline.name,
    points: [] as Array<{x: number; y: number}>,
  }));
  for (const load of loads) {
    const duration = seconds * modelTime;
    const baseline = simulate(plain, load, duration, createRandom(seed));
    disciplines.forEach((discipline, index) => {
      const result = simulate(discipline, load, duration, createRandom(seed));
      rows.push(...rowsOf(discipline.name, load, result, baseline));
      series[index]!.points.push({x: load, y: result.goodput});
    });
  }
  return {
    rows,
    plots: [
      {
        title: 'Goodput of the gate by queue discipline',
        xLabel: 'offered work over capacity',
        yLabel: 'work ended in time over capacity',
        series,
      },
    ],
    notes: [
      'decisions on fake timers; the results do not depend on the machine',
    ],
  };
}

function rowsOf(
  name: string,
  load: number,
  result: Result,
  baseline: Result,
): Row[] {
  const at = `${load}x, ${name}`;
  return [
    compare(
      `goodput at ${at}`,
      'of capacity',
      result.goodput,
      baseline.goodput,
    ),
    compare(
      `critical p99 at ${at}`,
      'ms',
      result.criticalP99,
      baseline.criticalP99,
    ),
    ...(['critical', 'normal', 'background'] as const).map(priority => ({
      figure: `${priority} in time at ${at}`,
      unit: 'share',
      value: result.inTime[priority],
    })),
    {
      figure: `slowest refusal at ${at}`,
      unit: 'ms',
      value: result.slowestRefusal,
    },
  ];
}

function simulate(
  discipline: Discipline,
  load: number,
  duration: number,
  random: Random,
): Result {
  const timers = createFakeTimers();
  const admission = createAdmission({
    slots,
    queueLength: discipline.queueLength,
    floor: discipline.floor,
    reserve: discipline.reserve,
    order: discipline.order,
    clock: timers,
    safeguards: {deadlineTest: discipline.deadlineTest},
  });
  const offered = {critical: 0, normal: 0, background: 0};
  const inTime = {critical: 0, normal: 0, background: 0};
  const critical: number[] = [];
  let usefulWork = 0;
  let slowestRefusal = 0;

  function arrive(): void {
    const kind = pick(random);
    const startedAt = timers.now();
    const work = exponential(kind.work, random);
    const {priority} = kind;
    offered[priority]++;
    admission.offer({
      rank: discipline.byPriority ? priority : 'normal',
      deadline: startedAt + kind.deadline,
      refuse: () => {
        slowestRefusal = Math.max(slowestRefusal, timers.now() - startedAt);
      },
      start: () =>
        timers.after(work, () => {
          const latency = timers.now() - startedAt;
          if (latency <= kind.deadline) {
            inTime[priority]++;
            usefulWork += work;
          }
          if (priority === 'critical') critical.push(latency);
          admission.done(work);
        }),
    });
  }

  const mean = kinds.reduce((sum, kind) => sum + kind.share * kind.work, 0);
  const gap = mean / slots / load;
  for (
    let scheduledAt = 0;
    scheduledAt < duration;
    scheduledAt += exponential(gap, random)
  ) {
    timers.advance(Math.max(0, scheduledAt - timers.now()));
    arrive();
  }
  const share = (priority: Priority) =>
    inTime[priority] / Math.max(1, offered[priority]);
  return {
    goodput: usefulWork / (slots * duration),
    inTime: {
      critical: share('critical'),
      normal: share('normal'),
      background: share('background'),
    },
    criticalP99: percentile(critical, 0.99),
    slowestRefusal,
  };
}

function pick(random: Random): Kind {
  let remaining = random.fraction();
  for (const kind of kinds) {
    remaining -= kind.share;
    if (remaining < 0) return kind;
  }
  return kinds[0]!;
}

function exponential(mean: number, random: Random): number {
  return -Math.log(1 - random.fraction()) * mean;
}

function percentile(values: number[], share: number): number {
  values.sort((left, right) => left - right);
  return values[Math.floor(values.length * share)] ?? 0;
}

export const experiment: Experiment = {
  name: 'request-overload',
  about: 'the gate’s queue disciplines from 0.5 to 3 times capacity',
  baseline: 'arrival order alone',
  seconds: 10,
  run,
};

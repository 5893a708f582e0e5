/**
 * The reports of all nodes about one roll-out. Counts only grow, so reports that
 * arrive twice, late or over two homes leave the same sums at every process.
 */
import {emptyDurations, fromSparse} from './duration-buckets.js';
import type {OutcomeCounts, RolloutReport} from './messages.js';

/** Outcomes of requests. */
export interface Outcomes {
  sent: number;
  answers: number;
  failures: number;
  /** Answers that have not failed, by duration. */
  readonly durations: number[];
}

/** Outcomes on one route: of the stable versions, and of each new instance. */
export interface RouteOutcomes {
  readonly stable: Outcomes;
  readonly targets: Map<string, Outcomes>;
}

/** Outcomes by route. */
export type RouteTable = Map<string, RouteOutcomes>;

/** The last known state of one process of a node. */
export interface NodeState {
  readonly node: string;
  readonly sequence: number;
  readonly version: number;
  readonly isConfirmed: boolean;
  readonly stableRunning: number;
  /** When it was received, by the receiver's monotonic clock. */
  readonly at: number;
}

/** The evidence about one roll-out. */
export interface Evidence {
  /** Number of the order. */
  readonly order: number;
  /** Adds a report; false if it holds nothing new. */
  add(report: RolloutReport, at: number): boolean;
  /** Sums of all nodes. */
  sums(): RouteTable;
  /** The state of each process that has reported. */
  nodes(): readonly NodeState[];
  /** All that is known, as reports. */
  reports(): RolloutReport[];
}

interface ReportedLife {
  last: RolloutReport;
  at: number;
  readonly counts: Map<string, OutcomeCounts>;
}

/** Creates evidence without reports. */
export function createEvidence(order: number): Evidence {
  const lives = new Map<string, ReportedLife>();

  function add(report: RolloutReport, at: number): boolean {
    const key = `${report.node} ${report.life}`;
    const known = lives.get(key);
    const life = known ?? {last: report, at, counts: new Map()};
    lives.set(key, life);
    const isNewer = known === undefined || report.sequence > life.last.sequence;
    if (isNewer) Object.assign(life, {last: report, at});
    let isChanged = isNewer;
    for (const counts of report.counts) {
      const countsKey = `${counts.role} ${counts.route} ${counts.instance}`;
      const before = life.counts.get(countsKey);
      if (before !== undefined && !isLater(counts, before)) continue;
      life.counts.set(countsKey, counts);
      isChanged = true;
    }
    return isChanged;
  }

  return {
    order,
    add,
    sums() {
      const table: RouteTable = new Map();
      for (const {counts} of lives.values()) {
        for (const each of counts.values()) addCounts(table, each);
      }
      return table;
    },
    nodes: () =>
      [...lives.values()].map(({last, at}) => ({
        node: last.node,
        sequence: last.sequence,
        version: last.version,
        isConfirmed: last.isConfirmed,
        stableRunning: last.stableRunning,
        at,
      })),
    reports: () =>
      [...lives.values()].map(({last, counts}) => ({
        ...last,
        counts: [...counts.values()],
      })),
  };
}

function isLater(left: OutcomeCounts, right: OutcomeCounts): boolean {
  return left.sent + left.answers > right.sent + right.answers;
}

/** Outcomes without requests. */
export function noOutcomes(): Outcomes {
  return {sent: 0, answers: 0, failures: 0, durations: emptyDurations()};
}

function addCounts(table: RouteTable, counts: OutcomeCounts): void {
  let route = table.get(counts.route);
  if (route === undefined) {
    route = {stable: noOutcomes(), targets: new Map()};
    table.set(counts.route, route);
  }
  if (counts.role === 'stable') return addOutcomes(route.stable, counts);
  let target = route.targets.get(counts.instance);
  if (target === undefined) {
    target = noOutcomes();
    route.targets.set(counts.instance, target);
  }
  addOutcomes(target, counts);
}

function addOutcomes(sum: Outcomes, counts: OutcomeCounts): void {
  sum.sent += counts.sent;
  sum.answers += counts.answers;
  sum.failures += counts.failures;
  const durations = fromSparse(counts.durations);
  for (const [bucket, count] of durations.entries()) {
    sum.durations[bucket]! += count;
  }
}

/** The outcomes that `later` has in addition to `earlier`. */
export function since(later: RouteTable, earlier: RouteTable): RouteTable {
  const table: RouteTable = new Map();
  for (const [route, {stable, targets}] of later) {
    const before = earlier.get(route);
    table.set(route, {
      stable: subtract(stable, before?.stable),
      targets: new Map(
        [...targets].map(([instance, outcomes]) => [
          instance,
          subtract(outcomes, before?.targets.get(instance)),
        ]),
      ),
    });
  }
  return table;
}

function subtract(left: Outcomes, right: Outcomes | undefined): Outcomes {
  if (right === undefined) return left;
  return {
    sent: left.sent - right.sent,
    answers: left.answers - right.answers,
    failures: left.failures - right.failures,
    durations: left.durations.map(
      (count, bucket) => count - right.durations[bucket]!,
    ),
  };
}

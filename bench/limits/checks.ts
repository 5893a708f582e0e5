/** Checks of what instances got after they had reported a limit or a shutdown. */
import type {ReportChange, ReportRecord} from '../upstreams/reports.js';

/** A request of a caller, by the node at which it began; wall-clock times. */
export interface SentRequest {
  readonly tag: string;
  readonly node: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly status: number;
  readonly effect: string;
  /** The process that answered, and what it reported; absent without one. */
  readonly answeredBy?: number;
  readonly reported?: ReportChange;
}

/** The record of one process of an upstream. */
export interface ProcessRecord extends ReportRecord {
  readonly instance: string;
  readonly id: number;
}

/** What a run saw; `disturbed` holds restarts and freezes of nodes. */
export interface ObservedRun {
  readonly requests: readonly SentRequest[];
  readonly processes: readonly ProcessRecord[];
  readonly disturbed: ReadonlyArray<{
    readonly node: string;
    readonly at: number;
  }>;
}

/** Milliseconds, as the platform states them. */
const window = 4_000;
const contact = 3_000;
const drainTime = 2_000;
/** Time after which a node that has passed on an answer is bound by it. */
const toldDelay = 500;

/** Describes each case in which an instance got more than it had named. */
export function findLimitBreaks(run: ObservedRun): string[] {
  const isTold = createToldCheck(run, 'limit', toldDelay);
  return run.processes.flatMap(process => {
    const breaks: string[] = [];
    for (const {from, to, limit} of limitPeriods(process)) {
      const counted = process.arrivals
        .filter(({at}) => at >= from + contact && at < to)
        .filter(({at, tag}) => isTold(tag, process.id, at))
        .map(({at}) => at);
      const most = mostInWindow(counted);
      const allowed = 1.5 * limit * (window / 1_000) + 5;
      if (most <= allowed) continue;
      const {instance, id} = process;
      breaks.push(
        `${instance} (${id}) named ${limit}, got ${most} in ${window} ms, allowed ${allowed}`,
      );
    }
    return breaks;
  });
}

/** Describes each request that reached an instance which had said it leaves. */
export function findDrainBreaks(run: ObservedRun): string[] {
  const isTold = createToldCheck(run, 'leaving', drainTime);
  const sentAt = new Map(run.requests.map(each => [each.tag, each.sentAt]));
  return run.processes.flatMap(({id, instance, arrivals}) =>
    arrivals
      .filter(({tag}) => isTold(tag, id, sentAt.get(tag) ?? 0))
      .map(({tag}) => `${tag} reached ${instance} (${id})`),
  );
}

/** Requests that were refused as not run and yet reached an instance. */
export function findFalseRefusals(run: ObservedRun): string[] {
  const arrived = new Set(
    run.processes.flatMap(({arrivals}) => arrivals.map(({tag}) => tag)),
  );
  return run.requests
    .filter(({effect, tag}) => effect === 'not-run' && arrived.has(tag))
    .map(({tag}) => tag);
}

interface LimitPeriod {
  readonly from: number;
  readonly to: number;
  readonly limit: number;
}

/** The periods in which a process named the same valid limit. */
function limitPeriods({changes}: ProcessRecord): LimitPeriod[] {
  return changes.flatMap(({at, limit}, index) => {
    if (!isValid('limit', limit)) return [];
    const to = changes[index + 1]?.at ?? Infinity;
    return [{from: at, to, limit: Number(limit)}];
  });
}

/** Whether a text is a limit, or reports a shutdown. */
function isValid(report: 'limit' | 'leaving', text: string | undefined) {
  if (report === 'leaving') return text === '1';
  return text !== undefined && /^\d+(\.\d+)?$/.test(text);
}

/** Most of the times, in ascending order, that lie in one window. */
function mostInWindow(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((at, index) => {
    while (times[first]! <= at - window) first++;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/**
 * Creates a check whether the node at which a request began had passed on an
 * answer with a report of a process at least `delay` before a moment, and was
 * not restarted or frozen since.
 */
function createToldCheck(
  {requests, disturbed}: ObservedRun,
  report: 'limit' | 'leaving',
  delay: number,
): (tag: string, process: number, at: number) => boolean {
  const nodes = new Map(requests.map(({tag, node}) => [tag, node]));
  const told = new Map<string, number[]>();
  for (const {node, answeredBy, reported, endedAt} of requests) {
    if (!isValid(report, reported?.[report])) continue;
    const key = `${node} ${answeredBy}`;
    told.set(key, [...(told.get(key) ?? []), endedAt]);
  }
  return (tag, process, at) => {
    const node = nodes.get(tag);
    if (node === undefined) return false;
    const disturbances = disturbed.filter(
      each => each.node === node && each.at <= at,
    );
    const since = Math.max(0, ...disturbances.map(each => each.at));
    const times = told.get(`${node} ${process}`) ?? [];
    return times.some(time => time > since && time + delay <= at);
  };
}

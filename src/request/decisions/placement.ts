/**
 * Placement of calls where bytes between failure domains are expensive. A call
 * stays in the entry's failure domain unless a crossing is expected to give an
 * answer within the objective that no instance in the own one can give.
 */
import {utilization} from './balancer.js';
import type {Candidate} from './balancer.js';

/** Whether calls may cross failure domains freely or only if it is worth it. */
export type Crossings = 'free' | 'dear';

/** What decides on the placement of one call. */
export interface PlacementDemand {
  /** Milliseconds until an answer no longer meets the objective. */
  readonly goodFor: number;
  /** Whether an instance was already tried for the call. */
  readonly tried: ReadonlySet<string>;
  /** Whether the last attempt was refused for lack of capacity. */
  readonly isMove: boolean;
  /** Utilization up to which an instance counts as free if no time is known. */
  readonly limit: number;
}

/** Estimates of durations that an entry or a gate has learned. */
export interface LearnedDurations {
  mean(): number;
  upperQuartile(): number;
}

/**
 * Factor on durations where the speed of the instance is unknown. The speeds
 * of the instances of a service differ by a factor of three, so that the
 * slowest need twice the usual time.
 */
const slownessAllowance = 2;

/**
 * Expected milliseconds until the answer of a call that is sent now, from the
 * utilization of the instance. Above 1, calls wait until those before them have
 * ended, and a slow instance makes them late. `kind` are the durations of calls
 * of the same kind, `all` those of all calls of the service. Undefined before
 * the first duration.
 */
export function finishByLoad(
  candidate: Candidate,
  kind: LearnedDurations,
  all: Pick<LearnedDurations, 'mean'>,
): number | undefined {
  const work = kind.upperQuartile();
  if (work === 0) return undefined;
  const excess = utilization(candidate) - 1;
  if (excess <= 0) return work;
  return (excess * all.mean() + work) * slownessAllowance;
}

/** Whether a call is expected to finish at an instance within `time`. */
function isWithin(
  candidate: Candidate,
  time: number,
  {limit}: PlacementDemand,
): boolean {
  const {finish} = candidate;
  if (finish === undefined) return utilization(candidate) < limit;
  return finish <= time;
}

/**
 * Share of the time until the objective within which an instance must be
 * expected to answer so that it is preferred. The rest is for calls of other
 * entries that an estimate does not include yet, and for a second attempt.
 */
const safeShare = 0.65;

/**
 * The instances among which the balancer chooses. These are the local instances
 * that are expected to answer well within the objective, or else such remote
 * ones, which are worth a crossing. After that come instances that are expected
 * to answer just in time, to which only a move crosses. If there are none, a
 * crossing buys nothing and the call stays local; a call that was refused for
 * lack of capacity is not sent again, and the result is empty unless a local
 * instance is untried.
 */
export function placeNear<T extends Candidate>(
  candidates: readonly T[],
  demand: PlacementDemand,
): readonly T[] {
  const {tried, isMove, goodFor} = demand;
  const local = candidates.filter(candidate => candidate.local);
  const within = (group: readonly T[], time: number) =>
    group.filter(candidate => isWithin(candidate, time, demand));
  const safeLocal = within(local, goodFor * safeShare);
  if (safeLocal.length > 0) return safeLocal;
  const remote = candidates.filter(candidate => !candidate.local);
  const safeRemote = within(remote, goodFor * safeShare);
  if (safeRemote.length > 0) return safeRemote;
  for (const group of isMove ? [local, remote] : [local]) {
    const inTime = within(group, goodFor);
    if (inTime.length > 0) return inTime;
  }
  const left = isMove
    ? local.filter(({instance}) => !tried.has(instance))
    : local;
  return left.length > 0 || isMove ? left : candidates;
}

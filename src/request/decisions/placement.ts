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
 * ended, and a slow instance makes them late. `kind` are the durations of calls of the same kind, `all` those of all
 * calls of the service; undefined before the first duration.
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

/** Whether a call is expected to finish at an instance within its objective. */
export function isInTime(
  candidate: Candidate,
  {goodFor, limit}: PlacementDemand,
): boolean {
  const {finish} = candidate;
  if (finish === undefined) return utilization(candidate) < limit;
  return finish <= goodFor;
}

/**
 * The instances among which the balancer chooses. These are the local instances
 * that are expected to finish in time, or else the remote ones, which are worth
 * a crossing. If there are none, a crossing buys nothing and the call stays
 * local; a call that was refused for lack of capacity is not sent again, and
 * the result is empty unless a local instance is untried.
 */
export function placeNear<T extends Candidate>(
  candidates: readonly T[],
  demand: PlacementDemand,
): readonly T[] {
  const {tried, isMove} = demand;
  const inTime = candidates.filter(candidate => isInTime(candidate, demand));
  const near = inTime.filter(({local}) => local);
  if (near.length > 0) return near;
  if (inTime.length > 0) return inTime;
  const local = candidates.filter(
    candidate => candidate.local && !(isMove && tried.has(candidate.instance)),
  );
  if (local.length > 0 || isMove) return local;
  return candidates;
}

/**
 * Determines the deadline of a request and until when it meets its objective.
 */
import type {Route} from '../../configuration/configuration.js';
import type {Timers} from '../../time/timers.js';
import type {CallerOptions} from '../messages/call.js';
import type {CallSize} from './instance-pool.js';
import type {RouteMatch} from './router.js';
import {createTypicalTimeouts} from './typical-timeouts.js';

/** Limits of one request, as times of the timer service. */
export interface TimeLimits {
  readonly deadline: number;
  /** Until when an answer must be sent to meet the objective at the caller. */
  readonly goodUntil: number;
}

/** What the limits of a request depend on besides its caller and route. */
export interface TimeNeeds {
  /** Size of the answer; `small` by default. */
  readonly size?: CallSize;
  /** Whether the call is part of another request; false by default. */
  readonly isNested?: boolean;
}

/** Determines the limits of requests. */
export interface TimeLimiter {
  /** The limits of a request that has just arrived. */
  limit(
    callerOptions: CallerOptions,
    match: RouteMatch,
    needs?: TimeNeeds,
  ): TimeLimits;
  /** Records that a request of the route was refused or failed. */
  failed(route: Route): void;
}

/**
 * Milliseconds of the objective that are reserved for the network between
 * caller and entry, in both directions: the network of a region and two hops.
 */
const networkAllowance = 10;

/** Creates the limiter of one entry; it learns the timeouts of its callers. */
export function createTimeLimiter(timers: Timers): TimeLimiter {
  const typicalTimeouts = createTypicalTimeouts();

  /**
   * Milliseconds in which an answer meets the objective. An upstream's call on
   * behalf of another request inherits the remaining time of that request. It
   * is not held to the objective, since refusing it would waste the work
   * already done. A late large answer delays others on the link, so it is held
   * to an estimate even if little is known about the callers.
   */
  function objectiveTime(
    {timeout}: CallerOptions,
    {route, policy}: RouteMatch,
    {size = 'small', isNested = false}: TimeNeeds,
  ): number {
    const objective = policy.objective.latency - networkAllowance;
    if (timeout === undefined || isNested) return objective;
    const effective = Math.min(timeout, policy.deadline);
    const waited = typicalTimeouts.waited(route, effective);
    if (waited !== undefined) return objective - waited;
    if (size === 'small') return Infinity;
    return objective - typicalTimeouts.estimateWaited(route, effective);
  }

  function limit(
    callerOptions: CallerOptions,
    match: RouteMatch,
    needs: TimeNeeds = {},
  ): TimeLimits {
    const now = timers.now();
    const {deadline: maxTimeout} = match.policy;
    const deadline =
      now + Math.min(callerOptions.timeout ?? Infinity, maxTimeout);
    const goodUntil = Math.min(
      deadline,
      now + objectiveTime(callerOptions, match, needs),
    );
    return {deadline, goodUntil};
  }

  return {limit, failed: typicalTimeouts.failed};
}

/** How long a request may take, and until when its answer counts as good. */
import type {Route} from '../../configuration/configuration.js';
import type {Timers} from '../../time/timers.js';
import type {CallerOptions} from '../messages/call.js';
import type {CallSize} from './instance-pool.js';
import type {RouteMatch} from './router.js';
import {createTypicalTimeouts} from './typical-timeouts.js';

/** The limits of one request, by the timer service. */
export interface TimeLimits {
  /** When its time is up. */
  readonly deadline: number;
  /** Until when an answer sent counts as good at the caller. */
  readonly goodUntil: number;
}

/** Works out the limits of requests. */
export interface TimeLimiter {
  /** The limits of a request that has just come, by the size of its answer. */
  limit(terms: CallerOptions, match: RouteMatch, size?: CallSize): TimeLimits;
  /** A request of the route was refused or failed. */
  failed(route: Route): void;
}

/**
 * Milliseconds of the objective that are kept for the request's way to the
 * entry and the answer's way back: a region's network and two hops.
 */
const wayBack = 10;

/** Creates the limiter of one entry; it learns from its callers. */
export function createTimeLimiter(timers: Timers): TimeLimiter {
  const usualTimeouts = createTypicalTimeouts();

  /**
   * Milliseconds in which an answer is good. A call that an upstream makes for
   * another request inherits that one's time: refused since it would be late,
   * it takes the work already done with it. A large answer that comes late also
   * makes others late on the link, so it is judged by what little is known.
   */
  function goodFor(
    {timeout}: CallerOptions,
    {route, policy}: RouteMatch,
    size: CallSize,
  ): number {
    const good = policy.objective.latency - wayBack;
    if (timeout === undefined) return good;
    const longest = Math.min(timeout, policy.deadline);
    const waited = usualTimeouts.waited(route, longest);
    if (waited !== undefined) return good - waited;
    if (size === 'small') return Infinity;
    return good - usualTimeouts.estimateWaited(route, longest);
  }

  function limit(
    terms: CallerOptions,
    match: RouteMatch,
    size: CallSize = 'small',
  ): TimeLimits {
    const now = timers.now();
    const {deadline: longest} = match.policy;
    const deadline = now + Math.min(terms.timeout ?? Infinity, longest);
    const goodUntil = Math.min(deadline, now + goodFor(terms, match, size));
    return {deadline, goodUntil};
  }

  return {limit, failed: usualTimeouts.failed};
}

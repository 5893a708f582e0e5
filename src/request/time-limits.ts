/** How long a request may take, and until when its answer counts as good. */
import type {Timers} from '../time/timers.js';
import type {CallerTerms} from './caller-protocol.js';
import type {Match} from './router.js';
import {createUsualTimeouts} from './usual-timeout.js';

/** The limits of one request, by the timer service. */
export interface TimeLimits {
  /** When its time is up. */
  readonly deadline: number;
  /** Until when an answer sent counts as good at the caller. */
  readonly goodUntil: number;
}

/** Works out the limits of a request that has just come. */
export type LimitTime = (terms: CallerTerms, match: Match) => TimeLimits;

/**
 * Milliseconds of the objective that are kept for the request's way to the
 * entry and the answer's way back: a region's network and two hops.
 */
const wayBack = 10;

/** Creates the limits of one entry; they learn from its callers. */
export function createTimeLimits(timers: Timers): LimitTime {
  const usualTimeouts = createUsualTimeouts();

  /**
   * Milliseconds in which an answer is good. A call that an upstream makes for
   * another request inherits that one's time: refused since it would be late,
   * it takes the work already done with it.
   */
  function goodFor({timeout}: CallerTerms, {route, policy}: Match): number {
    const good = policy.objective.latency - wayBack;
    if (timeout === undefined) return good;
    const waited = usualTimeouts.waited(route, timeout);
    return waited === undefined ? Infinity : good - waited;
  }

  return (terms, match) => {
    const now = timers.now();
    const {deadline: longest} = match.policy;
    const deadline = now + Math.min(terms.timeout ?? Infinity, longest);
    const goodUntil = Math.min(deadline, now + goodFor(terms, match));
    return {deadline, goodUntil};
  };
}

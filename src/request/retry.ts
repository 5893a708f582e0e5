/** Whether a refused request is sent again, to another instance. */
import type {Policy} from '../configuration/configuration.js';
import type {Code} from '../result/code.js';
import {requestCodes} from './codes.js';
import type {RetryBudget} from './retry-budget.js';

/** What is known of a request when an attempt has been refused. */
export interface RefusedAttempt {
  readonly code: Code;
  readonly policy: Policy;
  /** Attempts made so far. */
  readonly attempts: number;
  /** Milliseconds left of its time. */
  readonly left: number;
  /** Whether its body can be sent again. */
  readonly replayable: boolean;
  readonly budget: RetryBudget;
  /** Test only: false to send work again that may have begun. */
  readonly once?: boolean;
}

/** Refusals after which another instance may well do the work. */
const elsewhere: ReadonlySet<Code> = new Set([
  requestCodes.full,
  requestCodes.draining,
  requestCodes.stopping,
  requestCodes.wrongInstance,
  requestCodes.noConfiguration,
  requestCodes.deadlineUnreachable,
  requestCodes.upstreamUnreachable,
  requestCodes.upstreamLost,
  requestCodes.gateUnreachable,
  requestCodes.gateLost,
]);

/** Refusals by an instance that leaves: they add no load where they go next. */
const leaving: ReadonlySet<Code> = new Set([
  requestCodes.draining,
  requestCodes.stopping,
  requestCodes.wrongInstance,
]);

/**
 * Decides on a retry. Work that may have begun is sent again only when it is
 * idempotent: a booking sent twice would be booked twice. Retries that add
 * load draw on a budget, so that they stay a small share of the requests when
 * most attempts are refused.
 */
export function shouldRetry(refused: RefusedAttempt): boolean {
  const {code, policy} = refused;
  if (!elsewhere.has(code)) return false;
  if (!refused.replayable || refused.left <= 0) return false;
  if (refused.attempts >= policy.attempts) return false;
  const safe =
    code.effect === 'not-run' || policy.repeatability === 'idempotent';
  if (!safe && refused.once !== false) return false;
  return leaving.has(code) || refused.budget.take();
}

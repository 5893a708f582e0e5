/** Takes a credit for a request of a workspace with a quota. */
import type {Workspace} from '../configuration/configuration.js';
import type {Log} from '../log/log.js';
import type {
  Credit,
  QuotaDecision,
  QuotaRefusalReason,
  Quotas,
} from '../quotas/quotas.js';
import type {Code} from '../result/code.js';
import type {Timers} from '../time/timers.js';
import type {Refusal} from './messages/call.js';
import {requestCodes} from './messages/codes.js';
import {createRefusal} from './messages/refusal.js';
import type {TimeLimits} from './decisions/time-limits.js';

/** Options of `createQuotaCheck`. */
export interface QuotaCheckOptions {
  /** Undefined if no quotas are enforced. */
  readonly quotas: Quotas | undefined;
  readonly timers: Timers;
  readonly log: Log;
}

/** The credit of a request, none if it needs none, or why it gets none. */
export type QuotaCheckResult =
  {readonly credit: Credit | undefined} | {readonly refused: Refusal};

/**
 * Takes a credit for a request of a workspace; `work` are the milliseconds that
 * its answer usually takes, 0 if unknown.
 */
export type QuotaCheck = (
  workspace: Workspace | undefined,
  limits: TimeLimits,
  work: number,
) => QuotaCheckResult | Promise<QuotaCheckResult>;

const codes: Readonly<Record<QuotaRefusalReason, Code>> = {
  exceeded: requestCodes.quotaExceeded,
  unknown: requestCodes.quotaUnknown,
};

const withoutCredit: QuotaCheckResult = {credit: undefined};

/** Creates the check of one entry. */
export function createQuotaCheck(options: QuotaCheckOptions): QuotaCheck {
  const {quotas, timers, log} = options;

  function failed(workspace: string, error: unknown): QuotaCheckResult {
    const {message} = error as Error;
    log.error('no answer about a quota', {workspace, reason: message});
    return {refused: createRefusal(requestCodes.quotaUnknown)};
  }

  return (workspace, limits, work) => {
    if (workspace?.quota === undefined || quotas === undefined) {
      return withoutCredit;
    }
    const {name} = workspace;
    const until = latestStart(limits, work, timers.now());
    const decision = quotas.take(name, until);
    if (!(decision instanceof Promise)) return toResult(decision);
    return decision.then(toResult, error => failed(name, error));
  };
}

/**
 * Until when an answer can still meet the objective, or the deadline if it is
 * too late for the objective. A refused request loses more than the wait.
 */
function latestStart(
  {goodUntil, deadline}: TimeLimits,
  work: number,
  now: number,
): number {
  const inTime = goodUntil - work;
  return inTime > now ? inTime : deadline - work;
}

function toResult(decision: QuotaDecision): QuotaCheckResult {
  if (decision.kind === 'granted') return {credit: decision.credit};
  const {reason, retryAfter} = decision;
  return {refused: createRefusal(codes[reason], undefined, retryAfter)};
}

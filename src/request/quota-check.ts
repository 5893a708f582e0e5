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
import type {Refusal} from './messages/call.js';
import {requestCodes} from './messages/codes.js';
import {createRefusal} from './messages/refusal.js';
import type {TimeLimits} from './decisions/time-limits.js';

/** Options of `createQuotaCheck`. */
export interface QuotaCheckOptions {
  /** Undefined if no quotas are enforced. */
  readonly quotas: Quotas | undefined;
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
  limits: Pick<TimeLimits, 'deadline'>,
  work: number,
) => QuotaCheckResult | Promise<QuotaCheckResult>;

const codes: Readonly<Record<QuotaRefusalReason, Code>> = {
  exceeded: requestCodes.quotaExceeded,
  unknown: requestCodes.quotaUnknown,
};

const withoutCredit: QuotaCheckResult = {credit: undefined};

/** Creates the check of one entry. */
export function createQuotaCheck(options: QuotaCheckOptions): QuotaCheck {
  const {quotas, log} = options;

  function failed(workspace: string, error: unknown): QuotaCheckResult {
    const {message} = error as Error;
    log.error('no answer about a quota', {workspace, reason: message});
    return {refused: createRefusal(requestCodes.quotaUnknown)};
  }

  return (workspace, {deadline}, work) => {
    if (workspace?.quota === undefined || quotas === undefined) {
      return withoutCredit;
    }
    const {name} = workspace;
    // A refused caller comes back later than the home answers, so even a late
    // answer is better.
    const decision = quotas.take(name, deadline - work);
    if (!(decision instanceof Promise)) return toResult(decision);
    return decision.then(toResult, error => failed(name, error));
  };
}

function toResult(decision: QuotaDecision): QuotaCheckResult {
  if (decision.kind === 'granted') return {credit: decision.credit};
  const {reason, retryAfter} = decision;
  return {refused: createRefusal(codes[reason], undefined, retryAfter)};
}

/**
 * Totals of how a node decided on requests of workspaces with a quota. Refusals
 * of requests below the quota have several causes that look alike to callers.
 */
import {createTotals} from '../log/totals.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';

/**
 * How one request was decided.
 * - `held`: by a credit that the node held.
 * - `granted`: by a credit that the home gave on request.
 * - `exceeded`: refused, as the home has no credit.
 * - `blocked`: refused without a message until the home expects credits.
 * - `unanswered`: refused, as the home did not reply in time.
 * - `shareless`: refused, as the home has no share of the quota.
 * - `homeless`: refused, as the node has no home that it can ask.
 */
export type QuotaOutcome =
  | 'held'
  | 'granted'
  | 'exceeded'
  | 'blocked'
  | 'unanswered'
  | 'shareless'
  | 'homeless';

/** Records the decisions of one node. */
export interface QuotaUsage {
  /** Records a decision after `waited` milliseconds. */
  record(home: string | undefined, outcome: QuotaOutcome, waited: number): void;
}

/** Options of `createQuotaUsage`. */
export interface QuotaUsageOptions {
  readonly timers: Timers;
  readonly log: Log;
}

const admitted: ReadonlySet<QuotaOutcome> = new Set(['held', 'granted']);

/** Creates the record of one node. */
export function createQuotaUsage({timers, log}: QuotaUsageOptions): QuotaUsage {
  const totals = createTotals({
    message: 'quota usage',
    groupField: 'home',
    timers,
    log,
  });

  return {
    record: (home, outcome, waited) => {
      const amounts = {
        requests: 1,
        [outcome]: 1,
        ...(waited > 0 && {[`${outcome}Time`]: waited}),
      };
      totals.add(home ?? 'none', amounts, !admitted.has(outcome));
    },
  };
}

/** Totals of how the requests of an entry ended, and of their attempts. */
import type {Log} from '../../log/log.js';
import {createTotals} from '../../log/totals.js';
import type {Timers} from '../../time/timers.js';
import type {Outcome} from '../messages/call.js';
import {firstServerError} from '../messages/status.js';

/** Records ended requests. */
export interface EntryUsage {
  record(outcome: Outcome, isLate: boolean): void;
}

/** Options of `createEntryUsage`. */
export interface EntryUsageOptions {
  readonly timers: Timers;
  readonly log: Log;
}

/** Creates the record of one entry. */
export function createEntryUsage({timers, log}: EntryUsageOptions): EntryUsage {
  const totals = createTotals({
    message: 'entry usage',
    groupField: 'policy',
    timers,
    log,
  });

  return {
    record: (outcome, isLate) => {
      const field = fieldOf(outcome, isLate);
      const amounts = {
        requests: 1,
        attempts: outcome.attempts,
        [field]: 1,
        ...(outcome.attempts === 0 && {notOffered: 1}),
        [`${field}Time`]: outcome.duration,
      };
      totals.add(outcome.policy, amounts, field !== 'inTime');
    },
  };
}

/** The field that counts an outcome; of a refusal it is the code's name. */
function fieldOf({code, status, whole}: Outcome, isLate: boolean): string {
  if (code !== undefined) return code.name;
  if (!whole) return 'cut';
  if (status >= firstServerError) return 'failed';
  return isLate ? 'late' : 'inTime';
}

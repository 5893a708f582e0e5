/** Totals of how the requests of an entry ended, and of their attempts. */
import type {Log} from '../../log/log.js';
import {createTotals} from '../../log/totals.js';
import type {Timers} from '../../time/timers.js';
import type {Outcome} from '../messages/call.js';
import {outcomeField} from './outcome-field.js';

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
      const isCut = outcome.code === undefined && !outcome.whole;
      const field = isCut ? 'cut' : outcomeField({...outcome, isLate});
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

/** Totals of how the requests of an entry ended, and of their attempts. */
import type {Log} from '../../log/log.js';
import {createTotals} from '../../log/totals.js';
import type {Timers} from '../../time/timers.js';
import type {Outcome} from '../messages/call.js';
import {outcomeField, timeFieldOf} from './outcome-field.js';

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
      const {status, code, attempts, duration, whole, policy} = outcome;
      const isCut = code === undefined && !whole;
      const field = isCut ? 'cut' : outcomeField(status, code, isLate);
      const sums = totals.of(policy, field !== 'inTime');
      sums.add('requests', 1);
      sums.add('attempts', attempts);
      sums.add(field, 1);
      if (attempts === 0) sums.add('notOffered', 1);
      sums.add(timeFieldOf(field), duration);
    },
  };
}

/**
 * Totals of what the slots of a gate were used for. Slots that are all in use
 * may still serve few callers, if runs end late, end with an error because a
 * call of theirs was refused, or are abandoned.
 */
import type {Log} from '../../log/log.js';
import {createTotals} from '../../log/totals.js';
import type {Code} from '../../result/code.js';
import type {Timers} from '../../time/timers.js';
import {outcomeField, timeFieldOf} from './outcome-field.js';

/** How one call at a gate ended; times in milliseconds. */
export interface EndedCall {
  readonly kind: string | undefined;
  /** Status of the upstream's answer, if the answer was passed on. */
  readonly status: number | undefined;
  /** Code of a refusal or of a failure. */
  readonly code: Code | undefined;
  readonly isLate: boolean;
  /** Time until it got a slot; undefined if it got none. */
  readonly waited: number | undefined;
  /** Time for which it held a slot. */
  readonly held: number;
}

/** Records ended calls. */
export interface GateUsage {
  record(call: EndedCall): void;
}

/** Options of `createGateUsage`. */
export interface GateUsageOptions {
  readonly timers: Timers;
  readonly log: Log;
}

const unknownKind = 'unknown';

/** Creates the record of one gate. */
export function createGateUsage({timers, log}: GateUsageOptions): GateUsage {
  const totals = createTotals({
    message: 'gate usage',
    groupField: 'policy',
    timers,
    log,
  });

  return {
    record: ({kind, status, code, isLate, waited, held}) => {
      const field = outcomeField(status, code, isLate);
      const sums = totals.of(kind ?? unknownKind, field !== 'inTime');
      sums.add('offered', 1);
      sums.add(field, 1);
      if (waited === undefined) return;
      sums.add('started', 1);
      sums.add('waitTime', waited);
      sums.add(timeFieldOf(field), held);
    },
  };
}

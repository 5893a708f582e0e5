/**
 * Log lines with totals of a period. Lines about single requests are limited in
 * number, so under overload they do not show how many ended in which way.
 */
import type {Subscription, Timers} from '../time/timers.js';
import type {Log} from './log.js';

/** Numbers that are added up, by field of the line. */
export type Amounts = Readonly<Record<string, number>>;

/** Options of `createTotals`. */
export interface TotalsOptions {
  /** Message of the lines. */
  readonly message: string;
  /** Name of the field that tells the groups apart. */
  readonly groupField: string;
  /** Milliseconds that a line covers; 1000 by default. */
  readonly period?: number;
  readonly timers: Timers;
  readonly log: Log;
}

/** Adds up amounts by group and logs them once per period. */
export interface Totals {
  /**
   * Adds amounts to a group. A period without notable amounts is not logged.
   */
  add(group: string, amounts: Amounts, isNotable: boolean): void;
}

const defaultPeriod = 1_000;
/** Maximum number of groups with lines of their own. */
const maxGroups = 16;
const overflowGroup = 'other';

/** Creates totals; no timer runs while there are none. */
export function createTotals(options: TotalsOptions): Totals {
  const {timers, log, message, groupField} = options;
  const period = options.period ?? defaultPeriod;
  const groups = new Map<string, Record<string, number>>();
  let isNotable = false;
  let pending: Subscription | undefined;

  function totalsOf(group: string): Record<string, number> {
    const isNew = !groups.has(group);
    const name = isNew && groups.size >= maxGroups ? overflowGroup : group;
    let totals = groups.get(name);
    if (totals === undefined) groups.set(name, (totals = {}));
    return totals;
  }

  function write(): void {
    pending = undefined;
    if (isNotable) {
      for (const [group, totals] of groups) {
        log.info(message, {[groupField]: group, period, ...rounded(totals)});
      }
    }
    groups.clear();
    isNotable = false;
  }

  return {
    add: (group, amounts, notable) => {
      const totals = totalsOf(group);
      for (const field in amounts) {
        totals[field] = (totals[field] ?? 0) + amounts[field]!;
      }
      if (notable) isNotable = true;
      pending ??= timers.after(period, write);
    },
  };
}

function rounded(totals: Amounts): Amounts {
  return Object.fromEntries(
    Object.entries(totals).map(([field, sum]) => [field, Math.round(sum)]),
  );
}

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

/** The sums of one group in the current period. */
export interface Sums {
  add(field: string, amount: number): void;
}

/** Adds up amounts by group and logs them once per period. */
export interface Totals {
  /**
   * Adds amounts to a group. A period without notable amounts is not logged.
   */
  add(group: string, amounts: Amounts, isNotable: boolean): void;
  /**
   * The sums of a group, to add to at once. Unlike `add` it needs no object of
   * the amounts, so it suits events of each request.
   */
  of(group: string, isNotable: boolean): Sums;
}

const defaultPeriod = 1_000;
/** Maximum number of groups with lines of their own. */
const maxGroups = 16;
const overflowGroup = 'other';

/** Creates totals; no timer runs while there are none. */
export function createTotals(options: TotalsOptions): Totals {
  const {timers, log, message, groupField} = options;
  const period = options.period ?? defaultPeriod;
  const groups = new Map<string, GroupSums>();
  let isNotable = false;
  let pending: Subscription | undefined;

  function sumsOf(group: string): GroupSums {
    return groups.get(group) ?? createSums(group);
  }

  function createSums(group: string): GroupSums {
    const name = groups.size >= maxGroups ? overflowGroup : group;
    const sums = groups.get(name) ?? new GroupSums();
    groups.set(name, sums);
    return sums;
  }

  function of(group: string, notable: boolean): GroupSums {
    if (notable) isNotable = true;
    pending ??= timers.after(period, write);
    return sumsOf(group);
  }

  function write(): void {
    pending = undefined;
    if (isNotable) {
      for (const [group, sums] of groups) {
        log.info(message, {[groupField]: group, period, ...sums.rounded()});
      }
    }
    groups.clear();
    isNotable = false;
  }

  return {
    of,
    add: (group, amounts, notable) => {
      const sums = of(group, notable);
      for (const field in amounts) sums.add(field, amounts[field]!);
    },
  };
}

class GroupSums implements Sums {
  private readonly sums = new Map<string, number>();

  add(field: string, amount: number): void {
    this.sums.set(field, (this.sums.get(field) ?? 0) + amount);
  }

  rounded(): Amounts {
    return Object.fromEntries(
      [...this.sums].map(([field, sum]) => [field, Math.round(sum)]),
    );
  }
}

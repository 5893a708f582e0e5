import type {Quota} from '../../configuration/configuration.js';
import type {QuotaBounds} from '../budget.js';
import type {Taken} from './quota-group.js';

/** A quota that was configured at a time; undefined for none. */
export interface QuotaChange {
  readonly at: number;
  readonly quota: Quota | undefined;
}

/** The window in which most of what is allowed was granted. */
export interface WorstWindow {
  readonly start: number;
  readonly granted: number;
  readonly bound: number;
}

/** Milliseconds in which every process that is reached has a configuration. */
const configurationTime = 2_000;

function boundOf(quota: Quota, bounds: QuotaBounds): number {
  const allowed = (quota.rate * bounds.window) / 1000 + quota.burst;
  return allowed * (1 + bounds.overage) + bounds.slack;
}

/** The highest bound that a window from `start` on may be held to. */
function boundAt(
  start: number,
  changes: readonly QuotaChange[],
  bounds: QuotaBounds,
): number {
  const {window} = bounds;
  const inForce = changes.filter(({at}, index) => {
    const replacedAt = changes[index + 1]?.at ?? Infinity;
    const isOver = replacedAt + configurationTime + window <= start;
    return at < start + window && !isOver;
  });
  return Math.max(
    0,
    ...inForce.map(({quota}) =>
      quota === undefined ? Infinity : boundOf(quota, bounds),
    ),
  );
}

/** Compares what was granted and not given back in every window to its bound. */
export function worstWindow(
  taken: readonly Taken[],
  changes: readonly QuotaChange[],
  bounds: QuotaBounds,
): WorstWindow {
  const times = taken
    .filter(each => each.outcome === 'granted' && !each.isGivenBack)
    .map(({decidedAt}) => decidedAt)
    .sort((left, right) => left - right);
  let worst: WorstWindow = {start: 0, granted: 0, bound: 1};
  let end = 0;
  for (const [index, start] of times.entries()) {
    while (end < times.length && times[end]! < start + bounds.window) end++;
    const granted = end - index;
    const bound = boundAt(start, changes, bounds);
    if (granted / bound > worst.granted / worst.bound) {
      worst = {start, granted, bound};
    }
  }
  return worst;
}

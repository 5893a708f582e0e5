/** How the bound on the requests of a window is divided into rate and capacity. */
import type {Configuration, Quota} from '../configuration/configuration.js';
import {quotaPeriods} from './periods.js';

/** The bound that holds in every window; times in milliseconds. */
export interface QuotaBounds {
  readonly window: number;
  /** Part of a window's quota that may be exceeded, such as 0.1. */
  readonly overage: number;
  /** Requests that may exceed it in addition. */
  readonly slack: number;
}

/** What all homes together may issue of one quota. */
export interface Budget {
  /** Credits per millisecond. */
  readonly rate: number;
  /** Credits that buckets and nodes may hold at once. */
  readonly capacity: number;
  /** Credits that homes may hold in addition, in proportion to their rate. */
  readonly reserve: number;
}

/**
 * Capacity below which few homes could issue credits at all; smaller bursts are
 * raised to it at the expense of the rate.
 */
const minCapacity = 4;

/** Largest part of a window's bound that replaces a smaller burst. */
const minCapacityShare = 0.25;

/**
 * Part of overage and slack that raises the capacity; most of the rest is the
 * reserve, with which homes issue credits after a restart of all homes.
 */
const capacityPart = 0.25;

/**
 * The budget of a quota: `rate * (window + wait) + capacity + generations *
 * reserve` is at most the bound of a window.
 */
export function budgetOf(quota: Quota, bounds: QuotaBounds): Budget {
  const {window, overage, slack} = bounds;
  const allowed = (quota.rate * window) / 1000 + quota.burst;
  const bound = allowed * (1 + overage) + slack;
  const capacity = capacityOf(quota, bound, (bound - allowed) * capacityPart);
  const duration = window + quotaPeriods.askTimeout;
  const rate = Math.min(quota.rate / 1000, (bound - capacity) / duration);
  const rest = bound - capacity - rate * duration;
  return {rate, capacity, reserve: Math.max(0, rest) / generationsOf(window)};
}

function capacityOf(quota: Quota, bound: number, extra: number): number {
  const least = Math.min(minCapacity, Math.max(1, bound * minCapacityShare));
  return Math.min(bound, Math.max(quota.burst + extra, least));
}

/**
 * How often a lost home's rate may be assigned again while credits that it has
 * issued are still valid.
 */
function generationsOf(window: number): number {
  return 2 + Math.ceil(window / quotaPeriods.lease);
}

/** The quotas of a configuration by workspace. */
export function quotasOf(
  configuration: Configuration | undefined,
): ReadonlyMap<string, Quota> {
  const quotas = new Map<string, Quota>();
  for (const {name, quota} of configuration?.workspaces.values() ?? []) {
    if (quota !== undefined) quotas.set(name, quota);
  }
  return quotas;
}

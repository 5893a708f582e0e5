/**
 * Refuses calls at the entry while all instances are overloaded. A call that
 * every gate would refuse costs a hop for each attempt, and its caller learns
 * later that it has to come back.
 */
import type {Random} from '../../random/random.js';
import type {Rank} from '../messages/rank.js';

/** When one instance is expected to answer a call; times in milliseconds. */
export interface Outlook {
  /** Age of the estimate; undefined if there is none. */
  readonly age: number | undefined;
  /** Whether calls wait there, so that its gate refuses late ones. */
  readonly isFull: boolean;
  readonly finish: number;
}

/** Options of `createLateRefusals`. */
export interface LateRefusalsOptions {
  readonly random: Random;
  /**
   * Share of the calls that are sent although no instance is expected to be in
   * time; 0.1 by default.
   */
  readonly probeShare?: number | undefined;
}

/** Decides which calls an entry refuses at once. */
export interface LateRefusals {
  /**
   * The seconds after which a refused caller should retry; undefined if the
   * call must be sent.
   */
  retryAfter(
    outlooks: readonly Outlook[],
    rank: Rank,
    goodFor: number,
  ): number | undefined;
}

/**
 * Maximum age of an estimate in milliseconds. An entry sends a few tens of
 * calls per second to tens of instances, so it hears of each every few seconds.
 * By then the demand of a failure domain, which changes within a quarter of a
 * minute, may be another.
 */
const maxAge = 5_000;

/** Share of calls that correct a view which is wrong or has become so. */
const defaultProbeShare = 0.1;

/**
 * How late the earliest answer must be, divided by the time until the
 * objective, so that a call is refused. Capacity that is left or that an
 * estimate has missed goes to higher priorities and to nested calls.
 */
const lateness: Record<Rank, number> = {
  'nested-critical': 1.2,
  critical: 1.2,
  'nested-normal': 1.2,
  normal: 1.05,
  'nested-background': 1.2,
  background: 1,
};

/** Minimum retry delay in milliseconds: a few hops of the mesh. */
const minRetryDelay = 20;

/** Creates the decision for the calls of one service. */
export function createLateRefusals(options: LateRefusalsOptions): LateRefusals {
  const probeShare = options.probeShare ?? defaultProbeShare;
  const {random} = options;
  let probes = 0;

  function isProbe(): boolean {
    probes += probeShare;
    if (probes < 1) return false;
    probes -= 1;
    return true;
  }

  /** Spreads callers over the time in which one of them would be answered. */
  function delayFor(room: number, goodFor: number): number {
    const spread = random.fraction() * Math.max(room, goodFor);
    return Math.max(minRetryDelay, room + spread);
  }

  return {
    retryAfter(outlooks, rank, goodFor) {
      let earliest = Infinity;
      for (const {age, isFull, finish} of outlooks) {
        if (age === undefined || age > maxAge || !isFull) return undefined;
        earliest = Math.min(earliest, finish);
      }
      if (outlooks.length === 0) return undefined;
      if (earliest <= goodFor * lateness[rank]) return undefined;
      if (isProbe()) return undefined;
      return delayFor(earliest - goodFor, goodFor) / 1_000;
    },
  };
}

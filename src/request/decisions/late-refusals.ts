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
  /** Infinity if unknown. */
  readonly finish: number;
}

/** Whether each instance is expected to answer a call later than `goodFor`. */
export function areLate(
  instances: ReadonlyArray<{readonly finish?: number | undefined}>,
  goodFor: number,
): boolean {
  return instances.every(
    ({finish = Infinity}) => finish > goodFor && finish < Infinity,
  );
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
    kind?: string,
  ): number | undefined;
  /** Records what a gate made of a call that no instance could answer in time. */
  lateCallEnded(kind: string, isRefused: boolean): void;
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

/** Weight of the newest late call in the share that gates refuse. */
const newestWeight = 0.2;

/**
 * Share of late calls that gates refuse, from which entries refuse them. Gates
 * take late calls as long as no others wait, and a late answer is better than
 * none. Beyond that, refusing them at the gates uses up the processor time that
 * other calls need there, and slots show nothing of it.
 */
const maxRefusedShare = 0.3;

/** Minimum retry delay in milliseconds: a few hops of the mesh. */
const minRetryDelay = 20;

/** Maximum number of kinds with a share; services have few policies. */
const maxKinds = 64;

/** Probes that are due, as a share of one. */
interface Probes {
  due: number;
}

/** Late calls of one kind that were sent. */
interface LateCalls extends Probes {
  refusedShare: number;
}

/** Creates the decision for the calls of one service. */
export function createLateRefusals(options: LateRefusalsOptions): LateRefusals {
  const probeShare = options.probeShare ?? defaultProbeShare;
  const {random} = options;
  const fullProbes = {due: 0};
  const lateCalls = new Map<string, LateCalls>();

  function isProbe(probes: Probes): boolean {
    probes.due += probeShare;
    if (probes.due < 1) return false;
    probes.due -= 1;
    return true;
  }

  /** Whether each instance is known to refuse a call that would be late. */
  function areFull(outlooks: readonly Outlook[]): boolean {
    return outlooks.every(
      ({age, isFull}) => age !== undefined && age <= maxAge && isFull,
    );
  }

  /** Whether gates refuse late calls of the kind although none seems full. */
  function areRefused(kind: string | undefined): boolean {
    const calls = kind === undefined ? undefined : lateCalls.get(kind);
    if (calls === undefined) return false;
    return calls.refusedShare >= maxRefusedShare && !isProbe(calls);
  }

  /** Spreads callers over the time in which one of them would be answered. */
  function delayFor(room: number, goodFor: number): number {
    const spread = random.fraction() * Math.max(room, goodFor);
    return Math.max(minRetryDelay, room + spread);
  }

  return {
    retryAfter(outlooks, rank, goodFor, kind) {
      if (outlooks.length === 0) return undefined;
      if (!areLate(outlooks, goodFor)) return undefined;
      const earliest = Math.min(...outlooks.map(({finish}) => finish));
      const isTooLate = earliest > goodFor * lateness[rank];
      const isRefused =
        (areFull(outlooks) && isTooLate && !isProbe(fullProbes)) ||
        areRefused(kind);
      if (!isRefused) return undefined;
      return delayFor(earliest - goodFor, goodFor) / 1_000;
    },
    lateCallEnded(kind, isRefused) {
      let calls = lateCalls.get(kind);
      if (calls === undefined) {
        if (lateCalls.size >= maxKinds) return;
        calls = {due: 0, refusedShare: 0};
        lateCalls.set(kind, calls);
      }
      const newest = isRefused ? 1 : 0;
      calls.refusedShare += (newest - calls.refusedShare) * newestWeight;
    },
  };
}

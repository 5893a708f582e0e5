/** The estimates that an entry has heard from the gate of one instance. */
import type {Clock} from '../../time/clock.js';
import type {FinishEstimate} from '../messages/finish-estimate.js';
import type {Rank} from '../messages/rank.js';

/** The estimates of one gate by kind and rank of the calls. */
export interface EstimateMemory {
  /** Stores an estimate that was told while `free` slots were free. */
  set(
    kind: string | undefined,
    rank: Rank,
    estimate: FinishEstimate,
    free: number,
  ): void;
  /**
   * The estimate as of now; undefined if there is none or it is too old.
   * `outstanding` is the number of open calls of this entry.
   */
  get(
    kind: string | undefined,
    rank: Rank,
    outstanding: number,
  ): AgedEstimate | undefined;
  /** Records a call of this entry, which no estimate includes yet. */
  began(): void;
  /** Removes all estimates, which were those of another process. */
  clear(): void;
}

/** An estimate as of now; times in milliseconds. */
export interface AgedEstimate extends FinishEstimate {
  /** Since it was heard. */
  readonly age: number;
}

/** Options of `createEstimateMemory`; times in milliseconds. */
export interface EstimateMemoryOptions {
  /**
   * Time constant by which a wait decays. An instance that is not chosen for
   * its wait tells no other, and its queue has probably changed.
   */
  readonly waitAge: number;
  /** Age from which an estimate does not count. */
  readonly estimateAge: number;
}

/** Maximum number of estimates; services have few policies. */
const maxEstimates = 192;

interface HeardEstimate {
  readonly estimate: FinishEstimate;
  readonly free: number;
  readonly heardAt: number;
  /** Number of calls that had begun when it was heard. */
  readonly begun: number;
}

/** Creates a memory without estimates. */
export function createEstimateMemory(
  clock: Clock,
  {waitAge, estimateAge}: EstimateMemoryOptions,
): EstimateMemory {
  const heard = new Map<string, HeardEstimate>();
  let begun = 0;

  const keyOf = (kind: string | undefined, rank: Rank) =>
    `${rank} ${kind ?? ''}`;

  return {
    set(kind, rank, estimate, free) {
      const key = keyOf(kind, rank);
      if (heard.size >= maxEstimates && !heard.has(key)) return;
      heard.set(key, {estimate, free, heardAt: clock.now(), begun});
    },
    get(kind, rank, outstanding) {
      if (heard.size === 0) return undefined;
      const found = heard.get(keyOf(kind, rank));
      if (found === undefined) return undefined;
      const age = clock.now() - found.heardAt;
      if (age > estimateAge) return undefined;
      const {wait, work, step} = found.estimate;
      const later = Math.min(outstanding, begun - found.begun);
      const behind = Math.max(0, later - found.free);
      const aged = wait * Math.exp(-age / waitAge);
      return {wait: aged + behind * step, work, step, age};
    },
    began: () => void begun++,
    clear: () => heard.clear(),
  };
}

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
   * `outstanding` is the number of open calls of this entry; `now` is the
   * clock's time, by default read from it.
   */
  get(
    kind: string | undefined,
    rank: Rank,
    outstanding: number,
    now?: number,
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

const noKind = '';

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
  /** By rank and kind; a key of both would be a new string for each lookup. */
  const heard = new Map<Rank, Map<string, HeardEstimate>>();
  let size = 0;
  let begun = 0;

  function ofRank(rank: Rank): Map<string, HeardEstimate> {
    let estimates = heard.get(rank);
    if (estimates === undefined) heard.set(rank, (estimates = new Map()));
    return estimates;
  }

  return {
    set(kind, rank, estimate, free) {
      const estimates = ofRank(rank);
      const key = kind ?? noKind;
      if (!estimates.has(key)) {
        if (size >= maxEstimates) return;
        size++;
      }
      estimates.set(key, {estimate, free, heardAt: clock.now(), begun});
    },
    get(kind, rank, outstanding, now = clock.now()) {
      const found = heard.get(rank)?.get(kind ?? noKind);
      if (found === undefined) return undefined;
      const age = now - found.heardAt;
      if (age > estimateAge) return undefined;
      const {wait, work, step} = found.estimate;
      const later = Math.min(outstanding, begun - found.begun);
      const behind = Math.max(0, later - found.free);
      const aged = wait * Math.exp(-age / waitAge);
      return {wait: aged + behind * step, work, step, age};
    },
    began: () => void begun++,
    clear: () => {
      heard.clear();
      size = 0;
    },
  };
}

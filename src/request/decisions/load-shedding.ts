/**
 * Which requests an entry refuses while its process is short of processor time.
 * Taken all the same, each would make all others later, until none is in time
 * and the answers to callers that come back take what is left.
 */
import type {Priority} from '../../configuration/configuration.js';
import type {LoopDelay} from '../../time/loop-delay.js';
import type {Subscription, Timers} from '../../time/timers.js';
import {processorLoad} from './processor-load.js';

/** Refuses a share of the requests, the lowest priority's first. */
export interface LoadShedding {
  /** Whether the next request of a priority is refused. */
  refuses(priority: Priority): boolean;
}

/** What `createLoadShedding` works with. */
export interface LoadSheddingOptions {
  readonly loopDelay: LoopDelay;
  readonly timers: Timers;
}

/** The first to be refused, first. */
const ranking: readonly Priority[] = ['background', 'normal', 'critical'];

/** Milliseconds between two looks. */
const lookEvery = 50;

/** Looks that one that comes late stands for, at most. */
const mostLooks = 10;

/** Load of the process that is kept to; more is shed. */
const aimedLoad = 0.5;

/** Load too much beyond which shedding rises no faster. */
const mostExcess = 1;

/** Share of a priority that is refused at once for each load too much. */
const atOnce = 0.25;
/** By how much that share moves at each look, for each load too much. */
const eachLook = 0.04;

/** Largest share of a priority that is refused: some always tell how it goes. */
const mostShare = 0.9;

/** Creates shedding that refuses nothing yet; looks until cancelled. */
export function createLoadShedding(
  options: LoadSheddingOptions,
): LoadShedding & Subscription {
  const {loopDelay, timers} = options;
  /** Shares by which all priorities together are refused, lowest first. */
  let pressure = 0;
  let settled = 0;
  let lastLoad = 0;
  let lookedAt = timers.now();
  const owed = new Map<Priority, number>();

  const looking = timers.every(lookEvery, () => {
    const load = processorLoad(loopDelay);
    const excess = Math.min(load - aimedLoad, mostExcess);
    // What waits from before says nothing of the share that is shed now.
    const isFalling = load < lastLoad;
    lastLoad = load;
    const now = timers.now();
    const looks = Math.min((now - lookedAt) / lookEvery, mostLooks);
    lookedAt = now;
    if (excess < 0 || !isFalling) settled += excess * eachLook * looks;
    settled = clamp(settled, ranking.length);
    pressure = clamp(settled + excess * atOnce, ranking.length);
  });

  /** Shares are kept by counting, so that refusals come evenly. */
  function refuses(priority: Priority): boolean {
    const share = clamp(pressure - ranking.indexOf(priority), mostShare);
    if (share === 0) return false;
    const due = (owed.get(priority) ?? 0) + share;
    owed.set(priority, due >= 1 ? due - 1 : due);
    return due >= 1;
  }

  return {refuses, cancel: () => looking.cancel()};
}

function clamp(value: number, most: number): number {
  return Math.min(most, Math.max(0, value));
}

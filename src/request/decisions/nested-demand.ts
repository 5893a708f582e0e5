/** How many slots of an upstream nested calls use. */
import type {Clock} from '../../time/clock.js';
import {isNestedRank, ranks} from '../messages/rank.js';
import type {Rank} from '../messages/rank.js';

/** The demand of nested calls at one upstream. */
export interface NestedDemand {
  /** Records a nested call that is expected to take `work` milliseconds. */
  offered(rank: Rank, work: number): void;
  /** Slots that the nested calls before a rank keep busy on average. */
  slotsBefore(rank: Rank): number;
}

/** Milliseconds over which the demand is averaged. */
const span = 1_000;

/** Creates the demand of an upstream without any calls. */
export function createNestedDemand(clock: Clock): NestedDemand {
  const sums = new Map<Rank, number>();
  let decayedAt = clock.now();

  function decay(): void {
    const now = clock.now();
    if (now === decayedAt) return;
    const factor = Math.exp((decayedAt - now) / span);
    decayedAt = now;
    for (const [rank, sum] of sums) sums.set(rank, sum * factor);
  }

  return {
    offered(rank, work) {
      decay();
      sums.set(rank, (sums.get(rank) ?? 0) + work);
    },
    slotsBefore(rank) {
      decay();
      let work = 0;
      for (const other of ranks) {
        if (other === rank) break;
        if (isNestedRank(other)) work += sums.get(other) ?? 0;
      }
      return work / span;
    },
  };
}

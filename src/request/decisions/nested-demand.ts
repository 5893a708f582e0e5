/** How many slots of an upstream nested calls use. */
import {createDemand} from '../../quotas/demand.js';
import type {Demand} from '../../quotas/demand.js';
import type {Clock} from '../../time/clock.js';
import {ranks} from '../messages/rank.js';
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

const millisecondsPerSecond = 1_000;

/** Creates the demand of an upstream without any calls. */
export function createNestedDemand(clock: Clock): NestedDemand {
  const demands = new Map<Rank, Demand>();

  return {
    offered(rank, work) {
      let demand = demands.get(rank);
      if (demand === undefined) {
        demand = createDemand(clock, span);
        demands.set(rank, demand);
      }
      demand.add(work);
    },
    slotsBefore(rank) {
      let work = 0;
      for (const other of ranks) {
        if (other === rank) break;
        work += demands.get(other)?.rate() ?? 0;
      }
      return work / millisecondsPerSecond;
    },
  };
}

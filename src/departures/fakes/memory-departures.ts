import {createDepartureTable} from '../../configuration/departures.js';
import type {InstanceDepartures} from '../instance-departures.js';

/** The departures of one node's upstreams, kept while its processes change. */
export interface MemoryDepartures {
  /** The departures as a process of the node that starts now sees them. */
  start(): InstanceDepartures;
  /** Whether departures can be recorded and recalled; true at first. */
  isReachable: boolean;
}

/** Creates departures without any recorded. */
export function createMemoryDepartures(): MemoryDepartures {
  const instance = 'node-1';
  const table = createDepartureTable();
  const memory: MemoryDepartures = {
    isReachable: true,
    start() {
      const recall = () =>
        memory.isReachable ? table.of(instance) : undefined;
      let recalled = recall();
      return {
        async record(departure) {
          if (!memory.isReachable) return false;
          table.record({...departure, instance}, 100);
          return true;
        },
        recalled: () => recalled,
        recall: async () => (recalled ??= recall()),
      };
    },
  };
  return memory;
}

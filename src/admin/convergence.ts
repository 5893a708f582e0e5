import type {Timers} from '../time/timers.js';
import type {Metrics} from '../metrics/metrics.js';

/** What is known of the fleet at the moment. */
export interface FleetState {
  readonly nodes: number;
  /** Nodes that themselves said that they have the version. */
  readonly inForce: number;
}

/** What `createConvergence` needs. */
export interface ConvergenceOptions {
  readonly timers: Timers;
  readonly metrics: Metrics;
  readonly fleet: (version: number) => FleetState;
}

/** Measures how long accepted changes take to be in force everywhere. */
export interface ConvergenceTracker {
  /** A change was accepted, at this moment. */
  accepted(version: number): void;
  stop(): void;
}

/** Milliseconds between two looks at the fleet; the measure's grain. */
const lookEvery = 50;

/**
 * Milliseconds after which a change is given up, since a node is gone for
 * long. It counts with this age, beyond every bucket, so that a fleet that
 * never converges can't look good.
 */
const patience = 60_000;

/** Creates the measure; it looks at the fleet only while a change is on its way. */
export function createConvergenceTracker(
  options: ConvergenceOptions,
): ConvergenceTracker {
  const {timers, metrics, fleet} = options;
  const waiting = new Map<number, number>();
  const timer = timers.every(lookEvery, look);

  function look(): void {
    for (const [version, since] of waiting) {
      const age = timers.now() - since;
      const {nodes, inForce} = fleet(version);
      const isEverywhere = nodes > 0 && inForce === nodes;
      if (!isEverywhere && age < patience) continue;
      metrics.converged(age);
      waiting.delete(version);
    }
  }

  return {
    accepted: version => void waiting.set(version, timers.now()),
    stop: () => timer.cancel(),
  };
}

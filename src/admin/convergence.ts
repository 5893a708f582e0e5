import type {Subscription, Timers} from '../time/timers.js';
import type {Metrics} from '../metrics/metrics.js';

/** Number of nodes, and how many have a version. */
export interface FleetState {
  readonly nodes: number;
  /** Nodes that reported that the version is in force on them. */
  readonly inForce: number;
}

/** Options of createConvergenceTracker. */
export interface ConvergenceOptions {
  readonly timers: Timers;
  readonly metrics: Metrics;
  readonly fleet: (version: number) => FleetState;
}

/** Measures the time until accepted changes are in force on all nodes. */
export interface ConvergenceTracker {
  /** Starts the measurement for a change that was accepted now. */
  accepted(version: number): void;
  stop(): void;
}

/**
 * Interval between two checks of the fleet in milliseconds; the resolution of
 * the measurement.
 */
const checkInterval = 50;

/**
 * Milliseconds after which the measurement of a change ends, because a node is
 * gone for a long time. The change is recorded with this duration, which is
 * above every bucket, so that a fleet that never converges shows in the metric.
 */
const maxAge = 60_000;

/** Creates a tracker; it checks the fleet only while a change is pending. */
export function createConvergenceTracker(
  options: ConvergenceOptions,
): ConvergenceTracker {
  const {timers, metrics, fleet} = options;
  const pending = new Map<number, number>();
  let timer: Subscription | undefined;

  function check(): void {
    for (const [version, since] of pending) {
      const age = timers.now() - since;
      const {nodes, inForce} = fleet(version);
      const isConverged = nodes > 0 && inForce === nodes;
      if (!isConverged && age < maxAge) continue;
      metrics.converged(age);
      pending.delete(version);
    }
    if (pending.size === 0) stop();
  }

  function stop(): void {
    timer?.cancel();
    timer = undefined;
  }

  return {
    accepted(version) {
      pending.set(version, timers.now());
      timer ??= timers.every(checkInterval, check);
    },
    stop,
  };
}

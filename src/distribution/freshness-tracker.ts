import type {Timers} from '../time/timers.js';
import {distributionLimits} from './limits.js';
import {boundBarrier} from './prover.js';
import type {Barrier} from './prover.js';

/** Knows until when the local state was confirmed by a quorum. */
export interface FreshnessTracker {
  /** Local time of the last confirmation; undefined before the first. */
  asOf(): number | undefined;
  stop(): void;
}

/** Creates a control process's freshness: one quorum round each `period`. */
export function createFreshnessTracker(
  barrier: Barrier,
  timers: Timers,
  period: number = distributionLimits.freshnessRound,
): FreshnessTracker {
  const confirm = boundBarrier(
    barrier,
    timers,
    distributionLimits.proofTimeout,
  );
  let asOf: number | undefined;
  let running = false;

  async function round(): Promise<void> {
    if (running) return;
    running = true;
    const begun = timers.now();
    const result = await confirm();
    running = false;
    if (result.ok) asOf = begun;
  }

  const timer = timers.every(period, () => void round());
  void round();
  return {asOf: () => asOf, stop: () => timer.cancel()};
}

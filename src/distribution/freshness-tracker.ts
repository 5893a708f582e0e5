import {currentMoment} from '../time/moment.js';
import type {Moment} from '../time/moment.js';
import type {Timers} from '../time/timers.js';
import {nextTurn} from '../time/turn.js';
import {distributionLimits} from './limits.js';
import {boundBarrier} from './prover.js';
import type {Barrier} from './prover.js';

/** Tracks when a quorum last confirmed the local state. */
export interface FreshnessTracker {
  /** Local time of the last confirmation; undefined before the first. */
  asOf(): number | undefined;
  /** The same by both clocks. */
  confirmedAt(): Moment | undefined;
  stop(): void;
}

/**
 * Creates the freshness tracker of a control process, which runs one quorum
 * round per `period` milliseconds.
 */
export function createFreshnessTracker(
  barrier: Barrier,
  timers: Timers,
  period: number = distributionLimits.freshnessRoundPeriod,
): FreshnessTracker {
  const confirm = boundBarrier(
    barrier,
    timers,
    distributionLimits.proofTimeout,
  );
  let confirmedAt: Moment | undefined;
  let isRunning = false;

  async function round(): Promise<void> {
    if (isRunning) return;
    isRunning = true;
    const startedAt = currentMoment(timers);
    const result = await confirm();
    isRunning = false;
    if (!result.ok) return;
    // The changes that the round has brought are announced in the next turn. The
    // state that was published before must not count as confirmed by it.
    await nextTurn();
    confirmedAt = startedAt;
  }

  const timer = timers.every(period, () => void round());
  void round();
  return {
    asOf: () => confirmedAt?.steady,
    confirmedAt: () => confirmedAt,
    stop: () => timer.cancel(),
  };
}

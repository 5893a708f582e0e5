/**
 * The load that one process of an upstream reports about itself. A report
 * counts for a limited time: an upstream that stops reporting is taken at what
 * it announced.
 */
import type {Log} from '../../log/log.js';
import type {Clock} from '../../time/clock.js';
import type {UpstreamSignals} from '../messages/upstream-signals.js';

/** The capacity of an upstream by its own report. */
export interface ReportedCapacity {
  /** Calls that it runs concurrently; undefined without a recent report. */
  readonly slots: number | undefined;
  /** How long work takes now, divided by its usual duration; 1 by default. */
  readonly pace: number;
}

/** Holds the last report of the load. */
export interface CapacityReport extends ReportedCapacity {
  /** Applies what an answer reports; undefined if it reports no load. */
  apply(load: UpstreamSignals['load']): void;
}

/**
 * Milliseconds for which a report counts. Health checks come every second, so
 * three of them were missed, and the speed of an upstream that shares its VM
 * changes faster than that.
 */
const maxAge = 3_000;

/**
 * Milliseconds for which a report is kept if other answers contain none.
 * Answers on several connections can be read in another order than they were
 * sent.
 */
const liftDelay = 500;

/** Minimum milliseconds between two log lines about changed slots. */
const logPeriod = 1_000;

/** Creates a holder without a report. */
export function createCapacityReport(
  clock: Clock,
  log: Log,
  instance: string,
): CapacityReport {
  let slots: number | undefined;
  let pace = 1;
  let heardAt = -Infinity;
  let loggedAt = -Infinity;

  function isRecent(): boolean {
    return clock.now() - heardAt <= maxAge;
  }

  function setSlots(reported: number | undefined): void {
    const previous = slots;
    slots = reported;
    if (slots === previous || clock.now() - loggedAt < logPeriod) return;
    loggedAt = clock.now();
    log.info('upstream reports its slots', {instance, slots, previous});
  }

  return {
    get slots() {
      return isRecent() ? slots : undefined;
    },
    get pace() {
      return isRecent() ? pace : 1;
    },
    apply(load) {
      const now = clock.now();
      if (load === 'malformed') return;
      if (load !== undefined) {
        heardAt = now;
        pace = load.pace ?? 1;
        setSlots(load.slots);
      } else if (slots !== undefined && now - heardAt >= liftDelay) {
        pace = 1;
        setSlots(undefined);
      }
    },
  };
}

/**
 * What one process of an upstream has reported about itself in its answers. It
 * outlives a gate that is replaced while the upstream keeps running.
 */
import type {Log} from '../../log/log.js';
import type {Timers} from '../../time/timers.js';
import type {ReportedState} from '../messages/reported-state.js';
import type {UpstreamSignals} from '../messages/upstream-signals.js';
import {noObservations} from '../messages/answer-observation.js';
import type {
  AnswerObservation,
  ObservationCounts,
  ObservationKind,
} from '../messages/answer-observation.js';
import {createCapacityReport} from './capacity-report.js';
import type {ReportedCapacity} from './capacity-report.js';
import {createRateLimiter} from './rate-limiter.js';
import type {RateLimiter} from './rate-limiter.js';

/** The state that an upstream has reported. */
export interface UpstreamReport {
  /** Holds the limit that the upstream names. */
  readonly limiter: RateLimiter;
  /** The capacity that the upstream reports. */
  readonly capacity: ReportedCapacity;
  /** The state for entries; undefined if nothing is reported. */
  readonly state: ReportedState | undefined;
  /** Whether the upstream is shutting down; never taken back. */
  readonly isLeaving: boolean;
  /** Values that could not be parsed and were ignored. */
  readonly malformed: number;
  /** What was observed in its answers besides the results of calls. */
  readonly observed: ObservationCounts;
  /** Counts an observation. */
  observe(observation: AnswerObservation): void;
  /** Applies what an answer reports. */
  apply(signals: UpstreamSignals): void;
  /**
   * Applies what an entry has heard of the same process. A gate that has
   * restarted knows no limit, and would send many calls until the first answer;
   * after that only answers name limits. A shutdown applies at any time.
   */
  adopt(state: ReportedState): void;
  /** Calls `observe` when the upstream reports that it is shutting down. */
  onLeaving(observe: () => void): void;
}

/** Options of `createUpstreamReport`. */
export interface UpstreamReportOptions {
  /** Name of the upstream instance, for the log. */
  readonly instance: string;
  /** Identifies the process of the upstream; see `ReportedState`. */
  readonly process: string;
  readonly timers: Timers;
  readonly log: Log;
}

/**
 * Milliseconds for which a limit is kept after the last answer that named it,
 * if other answers don't. Answers on several connections can be read in another
 * order than they were sent.
 */
const liftDelay = 500;

/** Minimum milliseconds between two log lines about a changed limit. */
const logPeriod = 1_000;

/** What is logged at the first observation of a kind; rejections are routine. */
const observationMessages: Readonly<
  Record<ObservationKind, string | undefined>
> = {
  rejected: undefined,
  stray: 'answer to another request',
  contradicted: 'answer to a rejected request',
  unreadable: 'bytes that are no expected answer',
  endless: 'more bytes than are read of an answer',
};

/** Creates the report of an upstream that has not answered yet. */
export function createUpstreamReport(
  options: UpstreamReportOptions,
): UpstreamReport {
  const {instance, process, timers, log} = options;
  const limiter = createRateLimiter(timers);
  const capacity = createCapacityReport(timers, log, instance);
  const leavingObservers: Array<() => void> = [];
  let isLeaving = false;
  let malformed = 0;
  const observed: Record<ObservationKind, number> = {...noObservations};
  let hasAnswered = false;
  let namedAt = -Infinity;
  let loggedAt = -Infinity;

  function setLimit(limit: number | undefined): void {
    const previous = limiter.rate;
    limiter.setRate(limit);
    const {rate} = limiter;
    if (rate === previous) return;
    if (rate === undefined) {
      log.info('upstream limit lifted', {instance, previous});
      loggedAt = -Infinity;
      return;
    }
    if (timers.now() - loggedAt < logPeriod) return;
    loggedAt = timers.now();
    log.info('upstream limit named', {instance, limit, previous});
  }

  function applyLimit(limit: UpstreamSignals['limit']): void {
    const now = timers.now();
    if (typeof limit === 'number') {
      namedAt = now;
      setLimit(limit);
    } else if (limit === 'none' && now - namedAt >= liftDelay) {
      setLimit(undefined);
    }
  }

  function applyLeaving(): void {
    if (isLeaving) return;
    isLeaving = true;
    log.info('upstream is leaving', {instance});
    for (const observe of leavingObservers) observe();
  }

  function recordMalformed(signals: UpstreamSignals): void {
    malformed++;
    // Each answer may repeat it; the metric counts them.
    if (malformed > 1) return;
    const {limit, leaving} = signals;
    const load = signals.load === 'malformed' ? 'malformed' : undefined;
    log.warn('malformed header of the upstream ignored', {
      instance,
      limit,
      leaving,
      load,
    });
  }

  return {
    limiter,
    capacity,
    get state() {
      const limit = limiter.rate;
      if (limit === undefined && !isLeaving) return undefined;
      const {share} = limiter;
      return {process, limit, share, ...(isLeaving && {leaving: true})};
    },
    get isLeaving() {
      return isLeaving;
    },
    get malformed() {
      return malformed;
    },
    observed,
    observe({kind, request, status}) {
      observed[kind]++;
      const message = observationMessages[kind];
      // The metric counts them.
      if (message === undefined || observed[kind] > 1) return;
      log.warn(message, {instance, request, status});
    },
    apply(signals) {
      const {limit, leaving, load} = signals;
      if ([limit, leaving, load].includes('malformed')) {
        recordMalformed(signals);
      }
      hasAnswered = true;
      capacity.apply(load);
      applyLimit(limit);
      if (leaving === 'yes') applyLeaving();
    },
    adopt({process: reporter, limit, leaving}) {
      if (reporter !== process) return;
      if (leaving === true) applyLeaving();
      if (hasAnswered || limit === undefined) return;
      setLimit(Math.min(limit, limiter.rate ?? Infinity));
    },
    onLeaving: observe => void leavingObservers.push(observe),
  };
}

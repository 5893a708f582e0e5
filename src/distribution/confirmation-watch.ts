/**
 * Tells when the configuration of a process has not been confirmed for long. A
 * process that lost sight of the quorum serves its last version in good faith;
 * which part of the way kept newer ones from it shows nowhere else: no link, a
 * home without a fresh mark, or a home with one whose pushes don't come.
 */
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {HomeConnection} from './home-connection.js';
import type {Subscriber} from './subscriber.js';

/** What the watch works with; times in milliseconds. */
export interface ConfirmationWatchOptions {
  readonly home: Pick<HomeConnection, 'asOf' | 'state' | 'address' | 'mark'>;
  readonly subscriber: Pick<Subscriber, 'current' | 'state'>;
  readonly metrics: Pick<Metrics, 'unconfirmed'>;
  readonly timers: Timers;
  readonly log: Log;
  /** Time between two looks. */
  readonly period: number;
  /** Age of the last confirmation that is told, and again when it is twice as old and so on. */
  readonly limit: number;
}

/** Watches from the first confirmation until cancelled. */
export function watchConfirmation(
  options: ConfirmationWatchOptions,
): Subscription {
  const {home, subscriber, metrics, timers, log, limit} = options;
  /** When the state was last confirmed, while that is told as too long ago. */
  let toldSince: number | undefined;
  let toldAt = 0;

  function tell(asOf: number): void {
    const now = timers.now();
    const mark = home.mark();
    toldSince = asOf;
    toldAt = now;
    log.warn('configuration not confirmed', {
      age: Math.round(now - asOf),
      version: subscriber.current()?.version,
      subscriber: subscriber.state(),
      home: home.address(),
      link: home.state(),
      markAge: mark?.asOf && Math.round(now - mark.asOf),
      markVersion: mark?.version,
    });
  }

  function tellEnd(since: number): void {
    const duration = timers.now() - since;
    toldSince = undefined;
    metrics.unconfirmed(duration);
    log.info('configuration confirmed again', {
      duration: Math.round(duration),
      home: home.address(),
    });
  }

  return timers.every(options.period, () => {
    const asOf = home.asOf();
    if (asOf === undefined) return;
    const isOld = timers.now() - asOf > limit;
    const isTold = toldSince !== undefined && timers.now() - toldAt < limit;
    if (isOld && !isTold) tell(asOf);
    if (!isOld && toldSince !== undefined) tellEnd(toldSince);
  });
}

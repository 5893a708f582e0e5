/**
 * Logs when the configuration of a process has not been confirmed for too long.
 * A process that is cut off from the quorum continues to serve its last
 * version. The log lines are the only place that shows which part of the path
 * is at fault: there is no link, the home has no fresh mark, or it has one but
 * its pushes do not arrive.
 */
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {HomeConnection} from './home-connection.js';
import type {Subscriber} from './subscriber.js';

/** Options of watchConfirmation; times in milliseconds. */
export interface ConfirmationWatchOptions {
  readonly home: Pick<HomeConnection, 'asOf' | 'state' | 'address' | 'mark'>;
  readonly subscriber: Pick<Subscriber, 'current' | 'state'>;
  readonly metrics: Pick<Metrics, 'unconfirmed'>;
  readonly timers: Timers;
  readonly log: Log;
  /** Time between two checks. */
  readonly period: number;
  /**
   * Age of the last confirmation that is logged. It is logged again each time
   * that this much more time has passed.
   */
  readonly limit: number;
}

/** Starts to watch; the first confirmation is awaited without a log line. */
export function watchConfirmation(
  options: ConfirmationWatchOptions,
): Subscription {
  const {home, subscriber, metrics, timers, log, limit} = options;
  /**
   * Time of the last confirmation while its age is logged; undefined otherwise.
   */
  let loggedAsOf: number | undefined;
  let loggedAt = 0;

  function logUnconfirmed(asOf: number): void {
    const now = timers.now();
    const mark = home.mark();
    loggedAsOf = asOf;
    loggedAt = now;
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

  function logRecovery(since: number): void {
    const duration = timers.now() - since;
    loggedAsOf = undefined;
    metrics.unconfirmed(duration);
    log.info('configuration confirmed again', {
      duration: Math.round(duration),
      home: home.address(),
    });
  }

  return timers.every(options.period, () => {
    const asOf = home.asOf();
    if (asOf === undefined) return;
    const isOverdue = timers.now() - asOf > limit;
    const isLogged =
      loggedAsOf !== undefined && timers.now() - loggedAt < limit;
    if (isOverdue && !isLogged) logUnconfirmed(asOf);
    if (!isOverdue && loggedAsOf !== undefined) logRecovery(loggedAsOf);
  });
}

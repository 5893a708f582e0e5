/**
 * Totals of the bytes of streamed request bodies, by what they were read for.
 * The link also carries the bytes of bodies that are never forwarded.
 */
import type {Log} from '../../log/log.js';
import {createTotals} from '../../log/totals.js';
import type {Timers} from '../../time/timers.js';

/** Who sends the bodies: callers, or the entries of other nodes. */
export type UploadSender = 'callers' | 'entries';

/** What bytes of a body were read for. */
export type BodyUse = 'held' | 'streamed' | 'discarded';

/** Counts the streamed bodies of one listener. */
export interface UploadMeter {
  /** A body begins. */
  began(): void;
  /** Counts bytes: `held` before the admission, `streamed` after it. */
  read(use: BodyUse, bytes: number): void;
  /** Counts the milliseconds for which the rate limit delayed a read. */
  delayed(duration: number): void;
}

/** Options of `createUploadMeter`. */
export interface UploadMeterOptions {
  readonly sender: UploadSender;
  readonly timers: Timers;
  readonly log: Log;
}

/** Creates a meter that logs its totals once per second. */
export function createUploadMeter(options: UploadMeterOptions): UploadMeter {
  const {sender, timers, log} = options;
  const totals = createTotals({
    message: 'upload usage',
    groupField: 'sender',
    timers,
    log,
  });

  return {
    began: () => totals.add(sender, {bodies: 1}, false),
    read: (use, bytes) => {
      totals.add(sender, {[`${use}Bytes`]: bytes}, use === 'discarded');
    },
    delayed: delayTime => totals.add(sender, {delayTime}, true),
  };
}

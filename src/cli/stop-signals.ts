import type {EventEmitter} from 'node:events';
import {exitCodes, signalExitCode, stopSignals} from '../process/exit-codes.js';
import type {StopSignal} from '../process/exit-codes.js';
import type {Log} from '../log/log.js';

/** What a stop signal acts on. */
export interface StopOptions {
  /** Where signals come from: `process`, or a stand-in in tests. */
  readonly signals: EventEmitter;
  /** Begins the planned stop; resolves when all work in flight has ended. */
  readonly stop: () => Promise<void>;
  /** Ends the process. */
  readonly exit: (code: number) => void;
  readonly log: Log;
}

/**
 * Makes SIGTERM and SIGINT a planned stop. The stop begins once, however many
 * signals come; a second signal is an operator who will not wait, so it ends
 * the process at once and cuts what is in flight.
 */
export function handleStopSignals(options: StopOptions): void {
  const {signals, stop, exit, log} = options;
  let stopping = false;

  function receive(signal: StopSignal): void {
    if (stopping) {
      log.warn('second stop signal: ending at once', {signal});
      exit(signalExitCode(signal));
      return;
    }
    stopping = true;
    log.info('stopping', {signal});
    stop().then(
      () => {
        log.info('stopped', {signal});
        exit(exitCodes.ok);
      },
      (error: Error) => {
        log.error('the stop failed', {error: error.message});
        exit(exitCodes.failed);
      },
    );
  }

  for (const signal of Object.keys(stopSignals) as StopSignal[]) {
    signals.on(signal, () => receive(signal));
  }
}

import type {EventEmitter} from 'node:events';
import {exitCodes, signalExitCode, stopSignals} from '../process/exit-codes.js';
import type {StopSignal} from '../process/exit-codes.js';
import type {Log} from '../log/log.js';

/** Options of `handleStopSignals`. */
export interface StopOptions {
  /** The source of signals: `process`, or a fake in tests. */
  readonly signals: EventEmitter;
  /** Starts the planned stop; resolves when all work in flight has ended. */
  readonly stop: () => Promise<void>;
  /** Whether the platform kills the process if the stop takes too long. */
  readonly isKilledLater: boolean;
  /** Ends the process. */
  readonly exit: (code: number) => void;
  readonly log: Log;
}

/**
 * Starts a planned stop on SIGTERM or SIGINT. A second signal means that the
 * operator does not want to wait: it ends the process at once and aborts the work
 * in flight. A platform that kills the process later sends SIGTERM for each reason
 * to stop it, so there a second one must not abort anything.
 */
export function handleStopSignals(options: StopOptions): void {
  const {signals, stop, exit, log} = options;
  let isStopping = false;

  function receive(signal: StopSignal): void {
    if (isStopping && signal === 'SIGTERM' && options.isKilledLater) {
      log.info('stop signal repeated', {signal});
      return;
    }
    if (isStopping) {
      log.warn('second stop signal; exiting immediately', {signal});
      exit(signalExitCode(signal));
      return;
    }
    isStopping = true;
    log.info('stopping', {signal});
    stop().then(
      () => {
        log.info('stopped', {signal});
        exit(exitCodes.ok);
      },
      (error: Error) => {
        log.error('planned stop failed', {error: error.message});
        exit(exitCodes.failed);
      },
    );
  }

  for (const signal of Object.keys(stopSignals) as StopSignal[]) {
    signals.on(signal, () => receive(signal));
  }
}

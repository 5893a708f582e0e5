/**
 * Exit codes of the program, for shell scripts and service managers. A second
 * stop signal ends the process with 128 plus the signal's number (130, 143).
 */
export const exitCodes = {
  /** The command succeeded. */
  ok: 0,
  /** The command was tried and failed; the message names a result code. */
  failed: 1,
  /** The command line or the settings file is invalid; nothing was tried. */
  usage: 2,
} as const;

/** The exit code that a shell reports for a process ended by `signal`. */
export function signalExitCode(signal: StopSignal): number {
  return 128 + stopSignals[signal];
}

/** Signals that request a planned stop, with their numbers. */
export const stopSignals = {SIGINT: 2, SIGTERM: 15} as const;

export type StopSignal = keyof typeof stopSignals;

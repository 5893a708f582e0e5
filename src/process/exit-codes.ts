/**
 * Exit codes of the program, for shell scripts and service managers. A second
 * stop signal ends the process with 128 plus the signal's number (130, 143).
 */
export const exitCodes = {
  /** All was done. */
  ok: 0,
  /** The work was tried and failed; the message names a result code. */
  failed: 1,
  /** The command line or the settings file is not usable; nothing was tried. */
  usage: 2,
} as const;

/** The code that a shell gives to a process ended by `signal`. */
export function signalExitCode(signal: StopSignal): number {
  return 128 + stopSignals[signal];
}

/** Signals that ask for a planned stop, with their numbers. */
export const stopSignals = {SIGINT: 2, SIGTERM: 15} as const;

export type StopSignal = keyof typeof stopSignals;

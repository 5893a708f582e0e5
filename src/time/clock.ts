/**
 * The source of time. No other code reads the clock of the machine, so that the
 * same code runs in a process and in a test that controls time.
 */
export abstract class Clock {
  /** Milliseconds since an arbitrary start; monotonic. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch; only for display and logs. */
  abstract wall(): number;
}

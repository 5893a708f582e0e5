/**
 * The source of time. Decisions are based on it and not directly on the clock of
 * the machine, so that the same code runs in a process and in a test that controls
 * time.
 */
export abstract class Clock {
  /** Milliseconds since an arbitrary start; monotonic. */
  abstract now(): number;

  /**
   * Milliseconds since the Unix epoch; for display and logs, and to notice that
   * the VM was suspended (see `moment.ts`).
   */
  abstract wall(): number;
}

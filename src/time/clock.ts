/**
 * The source of time. Decisions never read the machine's clock themselves, so
 * that the same code runs in a process and in a test that moves time by hand.
 */
export abstract class Clock {
  /** Milliseconds from an arbitrary start; never goes back. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch; for people and logs only. */
  abstract wall(): number;
}

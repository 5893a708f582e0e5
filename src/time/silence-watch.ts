import type {Timers} from './timers.js';

/**
 * Result of a check of a link: a message was received within the limit, none was
 * received, or this process itself was paused.
 */
export type LinkActivity = 'active' | 'silent' | 'paused';

/** Detects that no more messages are received. */
export interface SilenceWatch {
  /** Records that a message of the other end was received. */
  recordActivity(): void;
  /** Checks the link; must be called once per period. */
  check(): LinkActivity;
}

/**
 * Creates a watch that reports silence after `limit` milliseconds without a message.
 * A check that is late by more than a period means that this process itself was
 * paused, and messages that arrived meanwhile are still unread. If that counted as
 * silence, all links would be closed at once when a paused VM resumes.
 */
export function createSilenceWatch(
  timers: Timers,
  period: number,
  limit: number,
): SilenceWatch {
  let receivedAt = timers.now();
  let checkedAt = receivedAt;

  return {
    recordActivity() {
      receivedAt = timers.now();
    },
    check() {
      const now = timers.now();
      const isLate = now - checkedAt > 2 * period;
      checkedAt = now;
      if (!isLate) return now - receivedAt > limit ? 'silent' : 'active';
      receivedAt = now;
      return 'paused';
    },
  };
}

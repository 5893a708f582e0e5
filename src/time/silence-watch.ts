import type {Timers} from './timers.js';

/** What a look at the other end of a link found. */
export type LinkActivity = 'heard' | 'silent' | 'paused';

/** Notices that nothing is heard any more. */
export interface SilenceWatch {
  /** Tells that the other end was heard. */
  recordActivity(): void;
  /** To be called once each period. */
  check(): LinkActivity;
}

/**
 * Creates a watch that calls `limit` milliseconds without a sign silent. A look
 * that comes late by more than a period means that this process itself stood
 * still: what the others sent meanwhile is still unread, and taken for silence
 * it would end every link at once when a VM wakes.
 */
export function createSilenceWatch(
  timers: Timers,
  period: number,
  limit: number,
): SilenceWatch {
  let heardAt = timers.now();
  let lookedAt = heardAt;

  return {
    recordActivity() {
      heardAt = timers.now();
    },
    check() {
      const now = timers.now();
      const isLate = now - lookedAt > 2 * period;
      lookedAt = now;
      if (!isLate) return now - heardAt > limit ? 'silent' : 'heard';
      heardAt = now;
      return 'paused';
    },
  };
}

import type {Announcement} from './messages.js';

/**
 * Converts `since` from a time to the age in milliseconds that is sent between
 * processes, or back; both directions are the same operation. Clocks of two VMs
 * can differ by hours, so a receiver that used the sender's time would treat a
 * warm instance as cold or a cold one as warm.
 */
export function convertSince<T extends Announcement>(
  announcement: T,
  wall: number,
): T {
  return {...announcement, since: wall - announcement.since};
}

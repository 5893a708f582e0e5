import type {Announcement} from './messages.js';

/**
 * Puts `since` on the wire, or takes it from there: between processes it
 * travels as an age in milliseconds. Clocks of two VMs can differ by hours,
 * and a receiver that took the sender's time for its own would treat a warm
 * instance as cold, or a cold one as warm. The two ways are one operation.
 */
export function convertSince<T extends Announcement>(
  announcement: T,
  wall: number,
): T {
  return {...announcement, since: wall - announcement.since};
}

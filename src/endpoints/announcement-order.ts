import type {Announcement} from './messages.js';

/**
 * Orders two announcements of one instance: negative when `left` is older.
 * Every home and node keeps the greater, so whatever order messages come in,
 * all end with the same one.
 *
 * Of one (incarnation, sequence) a gone one is greater: a home declares an
 * expired lease gone under the last sequence it saw, and an announcement that
 * it had not yet seen is still newer. The gate decides between two processes
 * that started under one name in the same millisecond.
 */
export function compareAnnouncements(
  left: Announcement,
  right: Announcement,
): number {
  return (
    left.incarnation - right.incarnation ||
    left.sequence - right.sequence ||
    rank(left) - rank(right) ||
    compareText(left.gate, right.gate)
  );
}

/** Whether `left` takes the place of `right`. */
export function isNewer(left: Announcement, right: Announcement): boolean {
  return compareAnnouncements(left, right) > 0;
}

function rank(announcement: Announcement): number {
  return announcement.state === 'gone' ? 1 : 0;
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

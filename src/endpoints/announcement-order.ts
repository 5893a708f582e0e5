import type {Announcement} from './messages.js';

/**
 * Compares two announcements of one instance: negative when `left` is older.
 * Every home and node keeps the greater one, so all of them converge to the same
 * announcement in whatever order messages arrive.
 *
 * With equal (incarnation, sequence), the state `gone` is greater: a home
 * declares an instance with an expired lease gone under the last sequence that
 * it received, and an announcement that it has not received yet is still newer.
 * The gate breaks the tie between two processes that started under one name in
 * the same millisecond.
 */
export function compareAnnouncements(
  left: Announcement,
  right: Announcement,
): number {
  return (
    left.incarnation - right.incarnation ||
    left.sequence - right.sequence ||
    stateRank(left) - stateRank(right) ||
    compareText(left.gate, right.gate)
  );
}

/** Whether `left` replaces `right`. */
export function isNewer(left: Announcement, right: Announcement): boolean {
  return compareAnnouncements(left, right) > 0;
}

function stateRank(announcement: Announcement): number {
  return announcement.state === 'gone' ? 1 : 0;
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

import type {Entry, Membership, Snapshot} from './messages.js';

/** The part of the log that is kept in memory: all entries after its base. */
export interface MemoryLog {
  /** Index of the entry before the first one that is kept. */
  readonly baseIndex: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /**
   * Raised with each truncation, so that writes begun before it can be ignored.
   */
  readonly epoch: number;
  /** The newest membership in the log, whether committed or not. */
  readonly membership: Membership;
  /** Index of the entry that set `membership`. */
  readonly membershipIndex: number;
  /** The membership in force after the entry at `index`. */
  membershipAt(index: number): Membership;
  /**
   * The term at an index, or undefined when the log does not hold that index.
   */
  termAt(index: number): number | undefined;
  entry(index: number): Entry | undefined;
  /**
   * Entries after `index`: at most `count` of them, and at least one but
   * otherwise no more than about `bytes`.
   */
  after(index: number, count: number, bytes: number): Entry[];
  append(entries: readonly Entry[]): void;
  /** Removes the entry at `index` and all later ones. */
  cut(index: number): void;
  /** Removes entries up to `index`. */
  compact(index: number): void;
  /** Replaces the log by an empty one that continues after a snapshot. */
  reset(snapshot: Snapshot): void;
}

interface MembershipChange {
  readonly index: number;
  readonly membership: Membership;
}

const entryOverheadBytes = 32;

/** Estimated size of an entry on the wire, in bytes. */
export function sizeOf(entry: Entry): number {
  if (entry.kind === 'command') return entryOverheadBytes + entry.data.length;
  return entryOverheadBytes;
}

/** Creates a log; its base may lie before the last entry of `snapshot`. */
export function createMemoryLog(
  snapshot: Snapshot,
  baseIndex: number = snapshot.index,
  baseTerm: number = snapshot.term,
): MemoryLog {
  let base = {index: baseIndex, term: baseTerm};
  let entries: Entry[] = [];
  let changes: MembershipChange[] = [
    {index: snapshot.index, membership: snapshot.membership},
  ];
  let epoch = 0;

  const find = (index: number) => entries[index - base.index - 1];
  const lastIndex = () => base.index + entries.length;
  const lastChange = () => changes[changes.length - 1]!;

  function termAt(index: number): number | undefined {
    if (index === base.index) return base.term;
    return find(index)?.term;
  }

  function recordMembership(entry: Entry): void {
    if (entry.kind !== 'membership') return;
    if (entry.index <= lastChange().index) return;
    changes.push({index: entry.index, membership: entry.membership});
  }

  return {
    get baseIndex() {
      return base.index;
    },
    get lastIndex() {
      return lastIndex();
    },
    get lastTerm() {
      return termAt(lastIndex())!;
    },
    get epoch() {
      return epoch;
    },
    get membership() {
      return lastChange().membership;
    },
    get membershipIndex() {
      return lastChange().index;
    },
    membershipAt(index) {
      const before = changes.filter(change => change.index <= index);
      return (before.at(-1) ?? changes[0]!).membership;
    },
    termAt,
    entry: find,
    after(index, count, bytes) {
      const found: Entry[] = [];
      let size = 0;
      for (let next = find(index + 1); next; next = find(next.index + 1)) {
        size += sizeOf(next);
        if (found.length > 0 && size > bytes) break;
        found.push(next);
        if (found.length === count) break;
      }
      return found;
    },
    append(added) {
      for (const entry of added) {
        if (entry.index !== lastIndex() + 1) {
          throw new Error(
            `entry ${entry.index} does not follow entry ${lastIndex()}`,
          );
        }
        entries.push(entry);
        recordMembership(entry);
      }
    },
    cut(index) {
      entries.length = index - base.index - 1;
      changes = changes.filter(change => change.index < index);
      epoch++;
    },
    compact(index) {
      if (index <= base.index) return;
      const term = termAt(index)!;
      entries = entries.slice(index - base.index);
      base = {index, term};
      const kept = changes.filter(change => change.index > index);
      const last = changes.filter(change => change.index <= index).at(-1);
      changes = last === undefined ? kept : [last, ...kept];
    },
    reset(next) {
      base = {index: next.index, term: next.term};
      entries = [];
      changes = [{index: next.index, membership: next.membership}];
      epoch++;
    },
  };
}

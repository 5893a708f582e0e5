import type {
  AppendRequest,
  Entry,
  Membership,
  Peer,
  SnapshotPart,
} from './messages.js';
import {appendEntries, commitTo, send} from './core-state.js';
import type {CoreState} from './core-state.js';
import type {Election} from './election.js';

/** The receiving side of replication, in followers and learners. */
export interface Follower {
  onAppend(from: Peer, message: AppendRequest): void;
  onSnapshotPart(from: Peer, message: SnapshotPart): void;
  /** Acknowledges the entries that were synced since the last answer. */
  onSynced(): void;
}

/** A snapshot that is being received in parts. */
interface SnapshotAssembly {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly parts: Uint8Array[];
  offset: number;
}

/** Creates the receiving side of replication. */
export function createFollower(state: CoreState, election: Election): Follower {
  let assembly: SnapshotAssembly | undefined;

  function acknowledge(to: string): void {
    send(state, to, {
      kind: 'appended',
      term: state.term,
      accepted: true,
      matchIndex: Math.min(state.verifiedIndex, state.syncedIndex),
      previousIndex: 0,
      round: state.round,
    });
  }

  function refuse(to: string, message: AppendRequest, nextTry: number): void {
    send(state, to, {
      kind: 'appended',
      term: state.term,
      accepted: false,
      matchIndex: nextTry,
      previousIndex: message.previousIndex,
      round: state.round,
    });
  }

  /**
   * The index after which the leader should try next. It skips all entries of
   * the term that conflicts.
   */
  function nextTryFor(message: AppendRequest): number {
    if (message.previousIndex > state.log.lastIndex) return state.log.lastIndex;
    const term = state.log.termAt(message.previousIndex);
    let index = message.previousIndex;
    while (index > state.commitIndex && state.log.termAt(index) === term) {
      index--;
    }
    return index;
  }

  function matchesPrevious(message: AppendRequest): boolean {
    if (message.previousIndex < state.log.baseIndex) return true;
    const term = state.log.termAt(message.previousIndex);
    return term !== undefined && term === message.previousTerm;
  }

  /** Truncates entries that conflict with the leader's and appends new ones. */
  function appendNew(entries: readonly Entry[]): boolean {
    const added: Entry[] = [];
    for (const entry of entries) {
      if (entry.index <= state.log.baseIndex) continue;
      if (added.length === 0) {
        const term = state.log.termAt(entry.index);
        if (term === entry.term) continue;
        if (term !== undefined) cut(entry.index);
      }
      added.push(entry);
    }
    if (added.length > 0) appendEntries(state, added);
    return added.length > 0;
  }

  function cut(index: number): void {
    if (index <= state.commitIndex) {
      throw new Error(`entry ${index} is committed and can't be replaced`);
    }
    state.log.cut(index);
    state.syncedIndex = Math.min(state.syncedIndex, index - 1);
    state.actions.push({kind: 'cut', index});
  }

  function install(from: Peer, complete: SnapshotAssembly): void {
    const {index, term, membership} = complete;
    const data = Buffer.concat(complete.parts);
    assembly = undefined;
    const snapshot = {index, term, membership, data};
    state.formed = true;
    state.snapshot = snapshot;
    state.log.reset(snapshot);
    state.commitIndex = index;
    state.verifiedIndex = index;
    state.syncedIndex = 0;
    const {epoch} = state.log;
    state.actions.push({kind: 'install', snapshot, epoch, leader: from.name});
  }

  function findAssembly(message: SnapshotPart): SnapshotAssembly {
    const isSame =
      assembly?.index === message.index &&
      assembly.term === message.snapshotTerm;
    if (isSame && message.offset > 0) return assembly!;
    if (isSame && assembly!.offset > 0) return assembly!;
    return {
      index: message.index,
      term: message.snapshotTerm,
      membership: message.membership,
      parts: [],
      offset: 0,
    };
  }

  return {
    onAppend(from, message) {
      if (!election.onLeader(from, message.term)) {
        refuse(from.name, message, state.log.lastIndex);
        return;
      }
      state.round = Math.max(state.round, message.round);
      if (!state.formed) {
        refuse(from.name, message, -1);
        return;
      }
      if (!matchesPrevious(message)) {
        refuse(from.name, message, nextTryFor(message));
        return;
      }
      const isNew = appendNew(message.entries);
      const last = message.previousIndex + message.entries.length;
      state.verifiedIndex = Math.max(state.verifiedIndex, last);
      commitTo(state, Math.min(message.commitIndex, state.verifiedIndex));
      if (!isNew || !state.options.safeguards.syncBeforeAnswer) {
        acknowledge(from.name);
      }
    },
    onSnapshotPart(from, message) {
      if (!election.onLeader(from, message.term)) return;
      state.round = Math.max(state.round, message.round);
      if (state.formed && message.index <= state.commitIndex) {
        state.verifiedIndex = Math.max(state.verifiedIndex, message.index);
        acknowledge(from.name);
        return;
      }
      const current = findAssembly(message);
      assembly = current;
      if (message.offset === current.offset) {
        current.parts.push(message.data);
        current.offset += message.data.length;
      }
      send(state, from.name, {
        kind: 'snapshot-taken',
        term: state.term,
        index: message.index,
        offset: current.offset,
        round: state.round,
      });
      if (current.offset === message.size) install(from, current);
    },
    onSynced() {
      if (state.leader === undefined) return;
      if (state.leader === state.options.self.name) return;
      acknowledge(state.leader);
    },
  };
}

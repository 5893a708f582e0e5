import type {
  AppendAnswer,
  Entry,
  Peer,
  SnapshotPartAnswer,
  Voter,
} from './messages.js';
import {
  adoptTerm,
  appendEntries,
  commitTo,
  isSamePeer,
  majorityOf,
  membershipOf,
  roleOf,
  send,
  stepDown,
} from './core-state.js';
import type {CoreState} from './core-state.js';
import {createProgress} from './progress.js';
import type {Progress} from './progress.js';

/** Most entries in one append. */
const batchEntries = 256;
/** About the most bytes in one append; one larger entry still goes alone. */
const batchBytes = 128 * 1024;
/** Most batches on their way to one follower without an acknowledgement. */
const windowBatches = 8;
/** Bytes of a snapshot in one message. */
const partBytes = 128 * 1024;

/** The leader's side of replication. */
export interface Replication {
  /** Begins a term as its leader. */
  startTerm(): void;
  /** Index of the entry that began this term. */
  readonly termStartIndex: number;
  tick(): void;
  append(entries: Entry[]): void;
  /** Takes note that own entries were synced. */
  onSynced(): void;
  onAppendAnswer(from: Peer, message: AppendAnswer): void;
  onSnapshotPartAnswer(from: Peer, message: SnapshotPartAnswer): void;
  /** Sends heartbeats now, under a new round number, which it returns. */
  beginRound(): number;
  /** Whether a majority answered a round. */
  isRoundConfirmed(round: number): boolean;
  progressOf(name: string): Progress | undefined;
  /** Asks a voter that holds the whole log to lead, if there is one. */
  handOver(): void;
}

/** Creates the leader's part. */
export function createReplication(state: CoreState): Replication {
  const {self, heartbeat, electionTimeout, safeguards} = state.options;
  let members = new Map<string, Progress>();
  let startIndex = 0;
  let round = 0;
  let beatAt = -Infinity;

  function refresh(): void {
    const {voters, learners} = membershipOf(state);
    const kept = new Map<string, Progress>();
    for (const peer of [...voters, ...learners]) {
      if (peer.name === self.name) continue;
      const known = members.get(peer.name);
      const isKept = known?.peer.storage === peer.storage;
      const fresh = () => createProgress(peer, state.log.lastIndex, state.now);
      kept.set(peer.name, isKept ? known : fresh());
    }
    members = kept;
  }

  function sendAppend(progress: Progress, entries: readonly Entry[]): void {
    const previousIndex = progress.nextIndex - 1;
    send(state, progress.peer.name, {
      kind: 'append',
      term: state.term,
      previousIndex,
      previousTerm: state.log.termAt(previousIndex)!,
      entries,
      commitIndex: state.commitIndex,
      round,
    });
  }

  function stream(progress: Progress): boolean {
    const first = progress.nextIndex;
    // Without a bound, a follower that stalls makes the leader hold and send
    // its whole backlog again and again, until it serves nobody in time.
    const window = safeguards.flowControl ? windowBatches : Infinity;
    while (
      progress.nextIndex <= state.log.lastIndex &&
      progress.pendingBatches.length < window
    ) {
      const entries = nextBatch(progress);
      sendAppend(progress, entries);
      progress.nextIndex = entries.at(-1)!.index + 1;
      progress.pendingBatches.push(progress.nextIndex - 1);
    }
    return progress.nextIndex > first;
  }

  const nextBatch = (progress: Progress) =>
    state.log.after(progress.nextIndex - 1, batchEntries, batchBytes);

  function probe(progress: Progress): void {
    if (progress.waitingSince !== undefined) return;
    progress.waitingSince = state.now;
    sendAppend(progress, nextBatch(progress));
  }

  function sendPart(progress: Progress): void {
    if (progress.waitingSince !== undefined) return;
    const {snapshot} = state;
    if (progress.snapshotIndex !== snapshot.index) progress.offset = 0;
    progress.snapshotIndex = snapshot.index;
    progress.waitingSince = state.now;
    const {offset} = progress;
    send(state, progress.peer.name, {
      kind: 'snapshot-part',
      term: state.term,
      index: snapshot.index,
      snapshotTerm: snapshot.term,
      membership: snapshot.membership,
      offset,
      size: snapshot.data.length,
      data: snapshot.data.subarray(offset, offset + partBytes),
      round,
    });
  }

  /** Entries that the log has dropped can only come as a snapshot. */
  function chooseFeed(progress: Progress): void {
    if (progress.nextIndex <= state.log.baseIndex) progress.mode = 'snapshot';
  }

  /** Sends what may be sent; true when an append went out. */
  function feed(progress: Progress): boolean {
    chooseFeed(progress);
    if (progress.mode === 'stream') return stream(progress);
    if (progress.mode === 'snapshot') sendPart(progress);
    else probe(progress);
    return false;
  }

  function feedAll(): void {
    for (const progress of members.values()) feed(progress);
  }

  function beat(): void {
    beatAt = state.now;
    for (const progress of members.values()) {
      const since = progress.waitingSince;
      const isLost =
        since !== undefined && state.now - since >= electionTimeout;
      if (isLost) progress.waitingSince = undefined;
      chooseFeed(progress);
      if (progress.mode === 'snapshot') sendPart(progress);
      else sendAppend(progress, []);
    }
  }

  function matchOf(voter: Voter): number {
    if (isSamePeer(state, voter, self)) return state.syncedIndex;
    return members.get(voter.name)?.matchIndex ?? 0;
  }

  /**
   * Commits what a majority has synced. Entries of earlier terms are only
   * committed by one of this term: counted alone, a majority's copies of an
   * old entry could still be overwritten by a later leader.
   */
  function advanceCommit(): void {
    const matches = membershipOf(state).voters.map(matchOf);
    matches.sort((left, right) => right - left);
    const index = matches[majorityOf(state) - 1]!;
    if (index <= state.commitIndex) return;
    const isOwn = state.log.termAt(index) === state.term;
    if (!isOwn && safeguards.ownTermCommit) return;
    commitTo(state, index);
    for (const progress of members.values()) {
      const isIdle = progress.mode === 'stream' && !feed(progress);
      if (isIdle && progress.nextIndex > state.log.lastIndex) {
        sendAppend(progress, []);
      }
    }
  }

  /**
   * A leader whose answers no longer come back may have been replaced without
   * hearing of it; it stops, so that its callers look for the real one.
   */
  function checkQuorum(): void {
    if (!safeguards.checkQuorum) return;
    const heard = membershipOf(state).voters.filter(voter => {
      if (isSamePeer(state, voter, self)) return true;
      const at = members.get(voter.name)?.contactAt ?? -Infinity;
      return state.now - at < electionTimeout;
    });
    if (heard.length < majorityOf(state)) stepDown(state);
  }

  /** The member behind an answer of this term, or undefined. */
  function findAnswerer(
    from: Peer,
    message: AppendAnswer | SnapshotPartAnswer,
  ): Progress | undefined {
    adoptTerm(state, message.term);
    if (roleOf(state) !== 'leader' || message.term !== state.term) return;
    const progress = members.get(from.name);
    if (progress === undefined) return;
    if (!isSamePeer(state, progress.peer, from)) return;
    progress.contactAt = state.now;
    progress.answeredRound = Math.max(progress.answeredRound, message.round);
    return progress;
  }

  function onAccepted(progress: Progress, matchIndex: number): void {
    if (progress.mode === 'probe') progress.waitingSince = undefined;
    const isReached = matchIndex >= progress.snapshotIndex;
    if (progress.mode !== 'snapshot' || isReached) progress.mode = 'stream';
    if (matchIndex > progress.matchIndex) progress.matchIndex = matchIndex;
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    const {matchIndex: match} = progress;
    progress.pendingBatches = progress.pendingBatches.filter(
      last => last > match,
    );
    advanceCommit();
  }

  function onRefused(progress: Progress, message: AppendAnswer): void {
    if (progress.mode === 'snapshot') return;
    if (message.previousIndex <= progress.matchIndex) return;
    const hint = Math.min(message.matchIndex + 1, message.previousIndex);
    progress.nextIndex = Math.max(progress.matchIndex + 1, hint);
    progress.pendingBatches = [];
    progress.waitingSince = undefined;
    // A folder without a group has no log to append to, not even an empty one.
    progress.mode = message.matchIndex < 0 ? 'snapshot' : 'probe';
  }

  return {
    get termStartIndex() {
      return startIndex;
    },
    startTerm() {
      members = new Map();
      round = 0;
      beatAt = state.now;
      startIndex = state.log.lastIndex + 1;
      refresh();
      this.append([{kind: 'no-op', index: startIndex, term: state.term}]);
    },
    append(entries) {
      appendEntries(state, entries);
      refresh();
      feedAll();
      advanceCommit();
    },
    tick() {
      checkQuorum();
      if (roleOf(state) !== 'leader') return;
      if (state.now - beatAt >= heartbeat) beat();
    },
    onSynced() {
      advanceCommit();
    },
    onAppendAnswer(from, message) {
      const progress = findAnswerer(from, message);
      if (progress === undefined) return;
      if (message.accepted) onAccepted(progress, message.matchIndex);
      else onRefused(progress, message);
      feed(progress);
    },
    onSnapshotPartAnswer(from, message) {
      const progress = findAnswerer(from, message);
      if (progress === undefined || progress.mode !== 'snapshot') return;
      if (message.index !== progress.snapshotIndex) return;
      progress.offset = message.offset;
      progress.waitingSince = undefined;
      const isWhole = message.offset >= state.snapshot.data.length;
      // Whole: wait for it to be durable, which an `appended` tells.
      if (isWhole) progress.waitingSince = state.now;
      else sendPart(progress);
    },
    beginRound() {
      round++;
      beat();
      return round;
    },
    isRoundConfirmed(wanted) {
      if (!safeguards.quorumRead) return true;
      const answered = membershipOf(state).voters.filter(
        voter =>
          isSamePeer(state, voter, self) ||
          (members.get(voter.name)?.answeredRound ?? 0) >= wanted,
      );
      return answered.length >= majorityOf(state);
    },
    progressOf: name => members.get(name),
    handOver() {
      const heir = membershipOf(state).voters.find(({name}) => {
        const progress = members.get(name);
        if (progress?.matchIndex !== state.log.lastIndex) return false;
        return state.now - progress.contactAt < electionTimeout;
      });
      if (heir === undefined) return;
      send(state, heir.name, {kind: 'take-over', term: state.term});
    },
  };
}

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

/** Maximum number of entries in one append request. */
const maxBatchEntries = 256;
/**
 * Approximate maximum size of an append request; a larger entry is sent alone.
 */
const maxBatchBytes = 128 * 1024;
/** Maximum number of unacknowledged batches per follower. */
const maxPendingBatches = 8;
/** Size of one part of a snapshot in bytes. */
const snapshotPartBytes = 128 * 1024;

/** The sending side of replication, in the leader. */
export interface Replication {
  /** Starts a term as its leader. */
  startTerm(): void;
  /** Index of the first entry of this leader's term. */
  readonly termStartIndex: number;
  tick(): void;
  append(entries: Entry[]): void;
  /** Called when entries of the leader's own log were synced. */
  onSynced(): void;
  onAppendAnswer(from: Peer, message: AppendAnswer): void;
  onSnapshotPartAnswer(from: Peer, message: SnapshotPartAnswer): void;
  /**
   * Sends heartbeats at once, with a new quorum round number, and returns it.
   */
  beginRound(): number;
  /** Whether a majority has answered a quorum round. */
  isRoundDone(round: number): boolean;
  progressOf(name: string): Progress | undefined;
  /**
   * Asks a reachable voter whose log is complete to take over, if there is one.
   */
  handOver(): void;
}

/** Creates the sending side of replication. */
export function createReplication(state: CoreState): Replication {
  const {self, heartbeat, electionTimeout, safeguards} = state.options;
  let members = new Map<string, Progress>();
  let startIndex = 0;
  let round = 0;
  let lastHeartbeatAt = -Infinity;

  function refresh(): void {
    const {voters, learners} = membershipOf(state);
    const refreshed = new Map<string, Progress>();
    for (const peer of [...voters, ...learners]) {
      if (peer.name === self.name) continue;
      const previous = members.get(peer.name);
      const isKept = previous?.peer.storage === peer.storage;
      const create = () => createProgress(peer, state.log.lastIndex, state.now);
      refreshed.set(peer.name, isKept ? previous : create());
    }
    members = refreshed;
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
    // Without a limit, a stalled follower makes the leader buffer and resend
    // its whole backlog repeatedly, until it can't answer the other members in
    // time.
    const window = safeguards.flowControl ? maxPendingBatches : Infinity;
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
    state.log.after(progress.nextIndex - 1, maxBatchEntries, maxBatchBytes);

  function probe(progress: Progress): void {
    if (progress.waitingSince !== undefined) return;
    progress.waitingSince = state.now;
    sendAppend(progress, nextBatch(progress));
  }

  function sendSnapshotPart(progress: Progress): void {
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
      data: snapshot.data.subarray(offset, offset + snapshotPartBytes),
      round,
    });
  }

  /** A follower that needs compacted entries must receive a snapshot. */
  function updateMode(progress: Progress): void {
    if (progress.nextIndex <= state.log.baseIndex) progress.mode = 'snapshot';
  }

  /** Sends what the mode allows; returns whether entries were streamed. */
  function replicateTo(progress: Progress): boolean {
    updateMode(progress);
    if (progress.mode === 'stream') return stream(progress);
    if (progress.mode === 'snapshot') sendSnapshotPart(progress);
    else probe(progress);
    return false;
  }

  function replicateToAll(): void {
    for (const progress of members.values()) replicateTo(progress);
  }

  function sendHeartbeats(): void {
    lastHeartbeatAt = state.now;
    for (const progress of members.values()) {
      const sentAt = progress.waitingSince;
      const isOverdue =
        sentAt !== undefined && state.now - sentAt >= electionTimeout;
      if (isOverdue) progress.waitingSince = undefined;
      updateMode(progress);
      if (progress.mode === 'snapshot') sendSnapshotPart(progress);
      else sendAppend(progress, []);
    }
  }

  function matchOf(voter: Voter): number {
    if (isSamePeer(state, voter, self)) return state.syncedIndex;
    return members.get(voter.name)?.matchIndex ?? 0;
  }

  /**
   * Commits the entries that a majority has synced. Entries of earlier terms
   * are committed only together with an entry of this term, because an old
   * entry that a majority holds can still be overwritten by a later leader.
   */
  function advanceCommit(): void {
    const matches = membershipOf(state).voters.map(matchOf);
    matches.sort((left, right) => right - left);
    const index = matches[majorityOf(state) - 1]!;
    if (index <= state.commitIndex) return;
    const isOwnTerm = state.log.termAt(index) === state.term;
    if (!isOwnTerm && safeguards.ownTermCommit) return;
    commitTo(state, index);
    for (const progress of members.values()) {
      const isIdle = progress.mode === 'stream' && !replicateTo(progress);
      if (isIdle && progress.nextIndex > state.log.lastIndex) {
        sendAppend(progress, []);
      }
    }
  }

  /**
   * A leader that receives no answers of a majority may have been replaced
   * without receiving a message of the new leader. It steps down so that its
   * callers look for the present leader.
   */
  function checkQuorum(): void {
    if (!safeguards.checkQuorum) return;
    const reachable = membershipOf(state).voters.filter(voter => {
      if (isSamePeer(state, voter, self)) return true;
      const contactAt = members.get(voter.name)?.contactAt ?? -Infinity;
      return state.now - contactAt < electionTimeout;
    });
    if (reachable.length < majorityOf(state)) stepDown(state);
  }

  /** The member that sent an answer in this term, or undefined. */
  function findSender(
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
    const hasSnapshot = matchIndex >= progress.snapshotIndex;
    if (progress.mode !== 'snapshot' || hasSnapshot) progress.mode = 'stream';
    if (matchIndex > progress.matchIndex) progress.matchIndex = matchIndex;
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    const {matchIndex: acknowledged} = progress;
    progress.pendingBatches = progress.pendingBatches.filter(
      lastIndex => lastIndex > acknowledged,
    );
    advanceCommit();
  }

  function onRefused(progress: Progress, message: AppendAnswer): void {
    if (progress.mode === 'snapshot') return;
    if (message.previousIndex <= progress.matchIndex) return;
    const nextTry = Math.min(message.matchIndex + 1, message.previousIndex);
    progress.nextIndex = Math.max(progress.matchIndex + 1, nextTry);
    progress.pendingBatches = [];
    progress.waitingSince = undefined;
    // A negative index means that the member's data folder belongs to no group.
    // It has no log yet, so it needs a snapshot.
    progress.mode = message.matchIndex < 0 ? 'snapshot' : 'probe';
  }

  return {
    get termStartIndex() {
      return startIndex;
    },
    startTerm() {
      members = new Map();
      round = 0;
      lastHeartbeatAt = state.now;
      startIndex = state.log.lastIndex + 1;
      refresh();
      this.append([{kind: 'no-op', index: startIndex, term: state.term}]);
    },
    append(entries) {
      appendEntries(state, entries);
      refresh();
      replicateToAll();
      advanceCommit();
    },
    tick() {
      checkQuorum();
      if (roleOf(state) !== 'leader') return;
      if (state.now - lastHeartbeatAt >= heartbeat) sendHeartbeats();
    },
    onSynced() {
      advanceCommit();
    },
    onAppendAnswer(from, message) {
      const progress = findSender(from, message);
      if (progress === undefined) return;
      if (message.accepted) onAccepted(progress, message.matchIndex);
      else onRefused(progress, message);
      replicateTo(progress);
    },
    onSnapshotPartAnswer(from, message) {
      const progress = findSender(from, message);
      if (progress === undefined || progress.mode !== 'snapshot') return;
      if (message.index !== progress.snapshotIndex) return;
      progress.offset = message.offset;
      progress.waitingSince = undefined;
      const isWhole = message.offset >= state.snapshot.data.length;
      // After the last part the follower sends an `appended` message once the
      // snapshot is durable.
      if (isWhole) progress.waitingSince = state.now;
      else sendSnapshotPart(progress);
    },
    beginRound() {
      round++;
      sendHeartbeats();
      return round;
    },
    isRoundDone(askedRound) {
      if (!safeguards.quorumRead) return true;
      const answered = membershipOf(state).voters.filter(
        voter =>
          isSamePeer(state, voter, self) ||
          (members.get(voter.name)?.answeredRound ?? 0) >= askedRound,
      );
      return answered.length >= majorityOf(state);
    },
    progressOf: name => members.get(name),
    handOver() {
      const successor = membershipOf(state).voters.find(({name}) => {
        const progress = members.get(name);
        if (progress?.matchIndex !== state.log.lastIndex) return false;
        return state.now - progress.contactAt < electionTimeout;
      });
      if (successor === undefined) return;
      send(state, successor.name, {kind: 'take-over', term: state.term});
    },
  };
}

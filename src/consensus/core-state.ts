import type {Random} from '../random/random.js';
import type {Role} from './consensus.js';
import {createMemoryLog} from './memory-log.js';
import type {MemoryLog} from './memory-log.js';
import type {
  Entry,
  Membership,
  Message,
  Peer,
  Snapshot,
  Vote,
  Voter,
} from './messages.js';
import {createRoleMachine} from './role.js';
import type {RoleMachine} from './role.js';

/**
 * Protections that a test may switch off to show the failure that each of them
 * prevents. A process runs with all of them.
 */
export interface Safeguards {
  /** A candidate asks for pre-votes before it raises its term. */
  readonly preVote: boolean;
  /** A leader that receives no answers of a majority steps down. */
  readonly checkQuorum: boolean;
  /** Votes and acknowledgements count only from the recorded data folder. */
  readonly storageIdentity: boolean;
  /** A member acknowledges and counts only entries that its disk has synced. */
  readonly syncBeforeAnswer: boolean;
  /** A read barrier waits until a majority has answered a heartbeat round. */
  readonly quorumRead: boolean;
  /** A leader counts copies only of entries of its own term to commit. */
  readonly ownTermCommit: boolean;
  /**
   * Membership changes only after an entry of the leader's own term is
   * committed.
   */
  readonly ownTermChange: boolean;
  /**
   * Messages are held back until a vote that was decided before them is
   * durable.
   */
  readonly syncVote: boolean;
  /** The number of unacknowledged batches per follower is bounded. */
  readonly flowControl: boolean;
  /** A failed sync stops the member; it does not retry. */
  readonly stopOnSyncFailure: boolean;
  /** A link to a member that has become silent is opened again. */
  readonly renewLinks: boolean;
}

/** All safeguards switched on. */
export const allSafeguards: Safeguards = {
  preVote: true,
  checkQuorum: true,
  storageIdentity: true,
  syncBeforeAnswer: true,
  quorumRead: true,
  ownTermCommit: true,
  ownTermChange: true,
  syncVote: true,
  flowControl: true,
  stopOnSyncFailure: true,
  renewLinks: true,
};

/**
 * An instruction of the core to its driver, to be performed in the given order.
 */
export type Action =
  | {readonly kind: 'send'; readonly to: string; readonly message: Message}
  /** The vote must be durable before any later message is sent. */
  | {readonly kind: 'save-vote'; readonly vote: Vote}
  /** The entries must be synced and then reported by a `synced` event. */
  | {
      readonly kind: 'append';
      readonly entries: readonly Entry[];
      readonly epoch: number;
    }
  | {readonly kind: 'cut'; readonly index: number}
  /**
   * The snapshot must be restored into the state machine, made durable, and
   * then reported by a `synced` event.
   */
  | {
      readonly kind: 'install';
      readonly snapshot: Snapshot;
      readonly epoch: number;
      readonly leader: string;
    }
  /** Entries up to `index` may be applied. */
  | {readonly kind: 'commit'; readonly index: number}
  | {
      readonly kind: 'proposed';
      readonly id: number;
      readonly index: number;
      readonly term: number;
    }
  /** Leadership ended, so the outcome of pending proposals is unknown. */
  | {readonly kind: 'leadership-lost'}
  | {
      readonly kind: 'barrier';
      readonly id: number;
      readonly index: number | undefined;
    }
  /** The role or the leader changed. */
  | {readonly kind: 'role'};

/** Options of createCore; times in milliseconds. */
export interface CoreOptions {
  readonly self: Peer;
  readonly random: Random;
  /** Interval of a leader's heartbeats. */
  readonly heartbeat: number;
  /** Minimum time without a leader before an election. */
  readonly electionTimeout: number;
  /**
   * Time without an answer after which a voter is replaced; absent for never.
   */
  readonly replaceLostAfter?: number | undefined;
  /**
   * Number of voters that may be lost at once; absent to keep the number of
   * founders.
   */
  readonly faultTolerance?: number | undefined;
  readonly safeguards: Safeguards;
}

/** The state that was read from disk at the start. */
export interface StoredState {
  readonly vote: Vote;
  readonly snapshot: Snapshot;
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly entries: readonly Entry[];
  /** Whether the data folder belongs to a group; false for a new one. */
  readonly formed: boolean;
}

/** The state that the parts of the core share. */
export interface CoreState {
  readonly options: CoreOptions;
  readonly role: RoleMachine;
  readonly log: MemoryLog;
  readonly actions: Action[];
  formed: boolean;
  /** The time in milliseconds, set at the start of each event. */
  now: number;
  term: number;
  votedFor: string | undefined;
  /** Name of the leader of `term`, if known. */
  leader: string | undefined;
  /** When the last message of the leader was received. */
  leaderContactAt: number;
  snapshot: Snapshot;
  commitIndex: number;
  /** This member's entries up to this index are durable. */
  syncedIndex: number;
  /**
   * This member's entries up to this index equal those of the leader of `term`.
   */
  verifiedIndex: number;
  /** Latest quorum round received from the leader of `term`. */
  round: number;
}

/** Creates the state from that read from disk. */
export function createCoreState(
  options: CoreOptions,
  stored: StoredState,
): CoreState {
  const log = createMemoryLog(
    stored.snapshot,
    stored.baseIndex,
    stored.baseTerm,
  );
  log.append(stored.entries);
  return {
    options,
    role: createRoleMachine(),
    log,
    actions: [],
    formed: stored.formed,
    now: 0,
    term: Math.max(stored.vote.term, log.lastTerm),
    votedFor: stored.vote.votedFor,
    leader: undefined,
    leaderContactAt: -Infinity,
    snapshot: stored.snapshot,
    commitIndex: stored.snapshot.index,
    syncedIndex: log.lastIndex,
    verifiedIndex: 0,
    round: 0,
  };
}

/** Queues a message to a member. */
export function send(state: CoreState, to: string, message: Message): void {
  state.actions.push({kind: 'send', to, message});
}

/** The present role of this member. */
export function roleOf(state: CoreState): Role {
  return state.role.current;
}

/**
 * Enters a newer term, in which this member has not voted and knows no leader.
 */
export function adoptTerm(state: CoreState, term: number): void {
  if (term <= state.term) return;
  state.term = term;
  state.votedFor = undefined;
  state.leader = undefined;
  state.verifiedIndex = 0;
  state.round = 0;
  saveVote(state);
  state.role.send('stepped-down');
}

/** Has term and vote made durable before any later message is sent. */
export function saveVote(state: CoreState): void {
  const vote = {term: state.term, votedFor: state.votedFor};
  state.actions.push({kind: 'save-vote', vote});
}

/** Appends to this member's log and has the entries synced. */
export function appendEntries(state: CoreState, entries: Entry[]): void {
  state.log.append(entries);
  state.actions.push({kind: 'append', entries, epoch: state.log.epoch});
  if (!state.options.safeguards.syncBeforeAnswer) {
    state.syncedIndex = state.log.lastIndex;
  }
}

/** Raises the commit index. */
export function commitTo(state: CoreState, index: number): void {
  if (index <= state.commitIndex) return;
  state.commitIndex = index;
  state.actions.push({kind: 'commit', index});
}

/** Ends leadership or candidacy without a change of the term. */
export function stepDown(state: CoreState): void {
  state.leader = undefined;
  state.role.send('stepped-down');
}

/** The newest membership in the log, whether committed or not. */
export function membershipOf(state: CoreState): Membership {
  return state.log.membership;
}

/**
 * The voter that sent a message, or undefined when the sender is not a voter.
 */
export function findVoter(state: CoreState, peer: Peer): Voter | undefined {
  return membershipOf(state).voters.find(voter =>
    isSamePeer(state, voter, peer),
  );
}

/**
 * Whether a message comes from the data folder that was recorded for its
 * sender. A known member whose disk was emptied has lost its votes and entries.
 * If it were counted, a majority could form that lacks an accepted change.
 */
export function isSamePeer(
  state: CoreState,
  recorded: Peer,
  peer: Peer,
): boolean {
  if (recorded.name !== peer.name) return false;
  if (!state.options.safeguards.storageIdentity) return true;
  return recorded.storage === peer.storage;
}

/** Whether the newest membership lists this process as a voter. */
export function isVoter(state: CoreState): boolean {
  return findVoter(state, state.options.self) !== undefined;
}

/** The smallest number of voters that is more than half of them. */
export function majorityOf(state: CoreState): number {
  return Math.floor(membershipOf(state).voters.length / 2) + 1;
}

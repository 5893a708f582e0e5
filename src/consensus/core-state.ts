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
 * Protections that a test may take out to show the failure that each prevents.
 * A process runs with all of them.
 */
export interface Safeguards {
  /** Ask whether a vote would be given before the term rises. */
  readonly preVote: boolean;
  /** A leader that hears no majority steps down. */
  readonly checkQuorum: boolean;
  /** Votes and acknowledgements count only from the recorded data folder. */
  readonly storageIdentity: boolean;
  /** A member acknowledges and counts only what its disk has synced. */
  readonly syncBeforeAnswer: boolean;
  /** A read barrier waits for a quorum round. */
  readonly quorumRead: boolean;
  /** A leader commits by counting copies of entries of its own term only. */
  readonly ownTermCommit: boolean;
  /** Members change only after an entry of the leader's own term is committed. */
  readonly ownTermChange: boolean;
  /** No message leaves before the vote decided ahead of it is durable. */
  readonly syncVote: boolean;
  /** Followers get a bounded number of unacknowledged batches. */
  readonly flowControl: boolean;
  /** A failed sync stops the member for good. */
  readonly stopOnSyncFailure: boolean;
}

/** All protections on. */
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
};

/** What the decisions ask of the driver, to be done in this order. */
export type Action =
  | {readonly kind: 'send'; readonly to: string; readonly message: Message}
  /** To be durable before any later send leaves. */
  | {readonly kind: 'save-vote'; readonly vote: Vote}
  /** To be synced, then reported with `synced`. */
  | {
      readonly kind: 'append';
      readonly entries: readonly Entry[];
      readonly epoch: number;
    }
  | {readonly kind: 'cut'; readonly index: number}
  /** Restore the state machine, make it durable, report with `synced`. */
  | {
      readonly kind: 'install';
      readonly snapshot: Snapshot;
      readonly epoch: number;
      readonly leader: string;
    }
  /** Entries up to here may be applied. */
  | {readonly kind: 'commit'; readonly index: number}
  | {readonly kind: 'proposed'; readonly id: number; readonly index: number}
  /** Leadership ended: the fate of open proposals is unknown. */
  | {readonly kind: 'lead-lost'}
  | {
      readonly kind: 'barrier';
      readonly id: number;
      readonly index: number | undefined;
    }
  /** The role or the leader changed. */
  | {readonly kind: 'role'};

/** What the decisions need to know from the start. */
export interface CoreOptions {
  readonly self: Peer;
  readonly random: Random;
  /** Milliseconds between a leader's heartbeats. */
  readonly heartbeat: number;
  /** Least milliseconds without a leader before an election. */
  readonly electionTimeout: number;
  /** Milliseconds of silence after which a voter is replaced; absent for never. */
  readonly replaceLostAfter?: number | undefined;
  /** Voters that may be lost at once; absent to keep the number of founders. */
  readonly faultTolerance?: number | undefined;
  readonly safeguards: Safeguards;
}

/** What was found on disk. */
export interface StoredState {
  readonly vote: Vote;
  readonly snapshot: Snapshot;
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly entries: readonly Entry[];
  /** False for a new folder that belongs to no group yet. */
  readonly formed: boolean;
}

/** The state that the decisions share. */
export interface CoreState {
  readonly options: CoreOptions;
  readonly role: RoleMachine;
  readonly log: MemoryLog;
  readonly actions: Action[];
  formed: boolean;
  /** Milliseconds; set at the start of each event. */
  now: number;
  term: number;
  votedFor: string | undefined;
  /** Name of the leader of `term`, when known. */
  leader: string | undefined;
  /** When the leader was last heard. */
  leaderContactAt: number;
  snapshot: Snapshot;
  commitIndex: number;
  /** Own entries up to here are durable. */
  syncedIndex: number;
  /** Own entries up to here equal those of the leader of `term`. */
  verifiedIndex: number;
  /** Latest quorum round heard from the leader of `term`. */
  round: number;
}

/** Creates the state from what was found on disk. */
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

/** The role at the moment. */
export function roleOf(state: CoreState): Role {
  return state.role.current;
}

/** Enters a newer term, in which it has not voted and knows no leader. */
export function adoptTerm(state: CoreState, term: number): void {
  if (term <= state.term) return;
  state.term = term;
  state.votedFor = undefined;
  state.leader = undefined;
  state.verifiedIndex = 0;
  state.round = 0;
  saveVote(state);
  state.role.send('followed');
}

/** Makes term and vote durable before anything else is sent. */
export function saveVote(state: CoreState): void {
  const vote = {term: state.term, votedFor: state.votedFor};
  state.actions.push({kind: 'save-vote', vote});
}

/** Appends to the own log and has it synced. */
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

/** Gives up leadership or candidacy within the same term. */
export function stepDown(state: CoreState): void {
  state.leader = undefined;
  state.role.send('followed');
}

/** The newest membership known, committed or not. */
export function membershipOf(state: CoreState): Membership {
  return state.log.membership;
}

/** The voter behind a message, or undefined when it does not count. */
export function findVoter(state: CoreState, peer: Peer): Voter | undefined {
  return membershipOf(state).voters.find(voter =>
    isSamePeer(state, voter, peer),
  );
}

/**
 * Whether a message comes from the very data folder that was recorded. An
 * emptied disk behind a known name has forgotten its votes and entries; were it
 * counted, a majority could form that never saw an accepted change.
 */
export function isSamePeer(state: CoreState, known: Peer, peer: Peer): boolean {
  if (known.name !== peer.name) return false;
  if (!state.options.safeguards.storageIdentity) return true;
  return known.storage === peer.storage;
}

/** Whether the newest membership counts this process as a voter. */
export function isVoter(state: CoreState): boolean {
  return findVoter(state, state.options.self) !== undefined;
}

/** The least number of voters that is more than half of them. */
export function majorityOf(state: CoreState): number {
  return Math.floor(membershipOf(state).voters.length / 2) + 1;
}

import type {Member} from './consensus.js';

/** What the members of the control group store and send to each other. */

/** A member with the identity of its data folder. */
export interface Voter extends Member {
  /** Random, made with the folder: an emptied or swapped disk has another. */
  readonly storage: string;
}

/** A replacement in progress; kept in the log so that a new leader goes on. */
export interface Replacement {
  readonly leaving: string;
  readonly joining: string;
}

/** Who counts for majorities and who only receives the log. */
export interface Membership {
  readonly voters: readonly Voter[];
  readonly learners: readonly Voter[];
  readonly replacement?: Replacement;
}

/** One log entry; index and term together name it once and for all. */
export type Entry =
  | {
      readonly kind: 'command';
      readonly index: number;
      readonly term: number;
      readonly data: Uint8Array;
    }
  | {readonly kind: 'no-op'; readonly index: number; readonly term: number}
  | {
      readonly kind: 'membership';
      readonly index: number;
      readonly term: number;
      readonly membership: Membership;
    };

/** The state after all entries up to `index`, in place of these entries. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  /** The state machine's bytes; empty at index 0. */
  readonly data: Uint8Array;
}

/** What the storage of a member must never forget. */
export interface Vote {
  readonly term: number;
  /** Storage identity of the candidate voted for in `term`. */
  readonly votedFor: string | undefined;
}

/** Who sent a message: the name and the data folder behind it. */
export interface Peer {
  readonly name: string;
  readonly storage: string;
}

/**
 * Rises with each change of these messages, or of the entries that they carry,
 * that older code misreads: it would answer an entry that it can't read as
 * invalid, and hold another state than the others from there on. Since 2 entries
 * are packed and hold differences of texts.
 */
export const protocolVersion = 2;

/** The members of the group, as they are from one entry of its log on. */
export interface MemberList {
  readonly index: number;
  readonly members: readonly Member[];
}

/** The first message on each link, sent again when the group is formed. */
export interface Hello {
  readonly kind: 'hello';
  /** The sender's `protocolVersion`. */
  readonly protocol: number;
  readonly member: Member;
  readonly storage: string;
  /** Identity of the group; absent while the folder belongs to none. */
  readonly group?: string;
  /** The first voters of the group; absent together with `group`. */
  readonly founders?: readonly Voter[];
  /** The newest members that the sender knows of; absent while it knows none. */
  readonly members?: MemberList;
}

/** Asks the other end of a link for a sign of life; it comes back as it is. */
export interface Ping {
  readonly kind: 'ping';
}

/** Asks for a vote, or with `trial` whether a vote would be given. */
export interface VoteRequest {
  readonly kind: 'vote-request';
  readonly term: number;
  readonly trial: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** The data folder that the candidate counts as a voter. */
  readonly voter: string;
  /** The leader itself asked the candidate to take over. */
  readonly isHandover: boolean;
}

/** Answers a vote request of the same term. */
export interface VoteAnswer {
  readonly kind: 'vote-answer';
  readonly term: number;
  readonly trial: boolean;
  readonly granted: boolean;
}

/** Entries for a follower; without entries it is a heartbeat. */
export interface AppendRequest {
  readonly kind: 'append';
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly Entry[];
  readonly commitIndex: number;
  /** Number of the leader's latest quorum round. */
  readonly round: number;
}

/** Answers an append. */
export interface AppendAnswer {
  readonly kind: 'appended';
  readonly term: number;
  readonly accepted: boolean;
  /** Accepted: synced and equal to the leader's log up to here. Else: try from here. */
  readonly matchIndex: number;
  /** Refused: the entry that did not match. */
  readonly previousIndex: number;
  readonly round: number;
}

/** One part of a snapshot for a follower that the log no longer reaches. */
export interface SnapshotPart {
  readonly kind: 'snapshot-part';
  readonly term: number;
  readonly index: number;
  readonly snapshotTerm: number;
  readonly membership: Membership;
  readonly offset: number;
  readonly size: number;
  readonly data: Uint8Array;
  readonly round: number;
}

/** Tells the leader how much of a snapshot is here. */
export interface SnapshotPartAnswer {
  readonly kind: 'snapshot-taken';
  readonly term: number;
  readonly index: number;
  readonly offset: number;
  readonly round: number;
}

/** A leader that stops asks a voter that holds its whole log to lead. */
export interface TakeOverRequest {
  readonly kind: 'take-over';
  readonly term: number;
}

/** A follower asks the leader for a read barrier. */
export interface BarrierRequest {
  readonly kind: 'barrier-request';
  readonly id: number;
}

/** Answers a barrier request; without an index there was none to give. */
export interface BarrierAnswer {
  readonly kind: 'barrier-answer';
  readonly id: number;
  readonly index?: number;
}

/** What the decisions of the group exchange. */
export type Message =
  | VoteRequest
  | VoteAnswer
  | AppendRequest
  | AppendAnswer
  | SnapshotPart
  | SnapshotPartAnswer
  | TakeOverRequest
  | BarrierRequest
  | BarrierAnswer;

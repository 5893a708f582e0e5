import type {Member} from './consensus.js';

/** The messages and stored records of the control group. */

/** A member with the identity of its data folder. */
export interface Voter extends Member {
  /**
   * Random identifier created with the data folder. A disk that was emptied or
   * exchanged has a different one.
   */
  readonly storage: string;
}

/** A replacement in progress; it is in the log so that a new leader continues. */
export interface MemberReplacement {
  readonly leaving: string;
  readonly joining: string;
}

/**
 * The members that count for majorities and those that only receive the log.
 */
export interface Membership {
  readonly voters: readonly Voter[];
  readonly learners: readonly Voter[];
  readonly replacement?: MemberReplacement;
}

/** One log entry; index and term together identify it uniquely. */
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

/** The state after all entries up to `index`; it replaces these entries. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  /** The serialized state machine; empty at index 0. */
  readonly data: Uint8Array;
}

/**
 * The current term and vote, which must be durable before any answer relies on
 * them.
 */
export interface Vote {
  readonly term: number;
  /** Storage identity of the candidate voted for in `term`. */
  readonly votedFor: string | undefined;
}

/** The sender of a message, identified by its name and its data folder. */
export interface Peer {
  readonly name: string;
  readonly storage: string;
}

/**
 * Version of these messages and of the entries that they carry. It is raised
 * with each change that older code would misread: older code would answer an
 * entry that it can't decode as invalid, and its state would differ from the
 * others' from then on. From version 2 on, entries are packed and hold
 * differences between texts.
 */
export const protocolVersion = 2;

/** The members of the group as of the log entry at `index`. */
export interface MemberList {
  readonly index: number;
  readonly members: readonly Member[];
}

/**
 * The first message on each link; it is sent again when the group is formed.
 */
export interface Hello {
  readonly kind: 'hello';
  /** The sender's `protocolVersion`. */
  readonly protocol: number;
  readonly member: Member;
  readonly storage: string;
  /** Identifier of the group; absent while the data folder belongs to none. */
  readonly group?: string;
  /** The first voters of the group; absent together with `group`. */
  readonly founders?: readonly Voter[];
  /**
   * The newest member list that the sender knows; absent while it knows none.
   */
  readonly members?: MemberList;
}

/**
 * Checks that the other end of a link is alive; the receiver returns it
 * unchanged.
 */
export interface Ping {
  readonly kind: 'ping';
}

/** Asks for a vote, or with `trial` for a pre-vote that changes no state. */
export interface VoteRequest {
  readonly kind: 'vote-request';
  readonly term: number;
  readonly trial: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** The receiver's storage identity in the candidate's membership. */
  readonly voter: string;
  /** Whether the leader itself asked the candidate to take over. */
  readonly isHandover: boolean;
}

/** Answers a vote request of the same term. */
export interface VoteAnswer {
  readonly kind: 'vote-answer';
  readonly term: number;
  readonly trial: boolean;
  readonly granted: boolean;
}

/** Log entries for a follower; without entries it is a heartbeat. */
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

/** Answers an append request. */
export interface AppendAnswer {
  readonly kind: 'appended';
  readonly term: number;
  readonly accepted: boolean;
  /**
   * If accepted, the index up to which the log is synced and equal to the
   * leader's; otherwise the index after which the leader should try next.
   */
  readonly matchIndex: number;
  /** If refused, the `previousIndex` of the request that did not match. */
  readonly previousIndex: number;
  readonly round: number;
}

/**
 * One part of a snapshot, for a follower whose next entries were compacted
 * away.
 */
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

/**
 * Reports to the leader how many bytes of a snapshot the follower has received.
 */
export interface SnapshotPartAnswer {
  readonly kind: 'snapshot-taken';
  readonly term: number;
  readonly index: number;
  readonly offset: number;
  readonly round: number;
}

/** Sent by a stopping leader: asks a voter with a complete log to take over. */
export interface TakeOverRequest {
  readonly kind: 'take-over';
  readonly term: number;
}

/** A follower's request to the leader for a read barrier. */
export interface BarrierRequest {
  readonly kind: 'barrier-request';
  readonly id: number;
}

/** Answers a barrier request; without an index the barrier failed. */
export interface BarrierAnswer {
  readonly kind: 'barrier-answer';
  readonly id: number;
  readonly index?: number;
}

/** A message that is handled by the `Core` of a member. */
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

import type {Result} from '../result/failure.js';

/** The replicated state: the same entries in the same order give the same state. */
export abstract class StateMachine {
  /** Applies one committed entry; its answer goes to the proposer. */
  abstract apply(index: number, entry: Uint8Array): Uint8Array;
  /** The whole state as bytes. */
  abstract snapshot(): Uint8Array;
  /** Replaces the whole state. */
  abstract restore(index: number, snapshot: Uint8Array): void;
}

/** What a voter is at the moment. */
export type Role = 'learner' | 'follower' | 'candidate' | 'leader';

/** One control process as the others know it. */
export interface Member {
  readonly name: string;
  /** Where it takes peer messages. */
  readonly address: string;
  readonly failureDomain: string;
  /** Where operators reach it; told by itself, absent while it has not. */
  readonly operatorAddress?: string;
  /** Where nodes, relays and fellows reach it; told by itself as well. */
  readonly distributionAddress?: string;
}

/** A view of one control process, for operators and metrics. */
export interface Status {
  readonly role: Role;
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly voters: readonly Member[];
  /** Members that receive the log and do not count yet. */
  readonly learners: readonly Member[];
  /** The members that others told a process which is none; else empty. */
  readonly reportedMembers: readonly Member[];
  /** Bytes sent to the other members since the start. */
  readonly bytesOut: number;
  /** Size of the log on disk in bytes. */
  readonly logBytes: number;
}

/** The control group as one of its processes sees it. */
export interface Consensus {
  /**
   * Commits one entry; resolves with the machine's answer once it is synced on
   * a majority and applied here. Fails with `not-leader` (not run) or
   * `outcome-unknown` when leadership ended meanwhile.
   */
  propose(entry: Uint8Array): Promise<Result<Uint8Array>>;
  /** Resolves with an index at least as new as all that was accepted before. */
  readBarrier(): Promise<Result<number>>;
  status(): Status;
  /** Adds a member and removes another; one replacement at a time. */
  replace(leaving: string, joining: Member): Promise<Result<void>>;
  /** Calls `observe` after each applied entry or restored snapshot. */
  onApplied(observe: (index: number) => void): void;
  /** Calls `observe` after each change of role or leader. */
  onRoleChange(observe: (status: Status) => void): void;
  /** Calls `observe` when the members or what they tell of themselves change. */
  onMembersChange(observe: () => void): void;
  /** Ends the member; a leader first lets another one lead. */
  stop(): Promise<void>;
}

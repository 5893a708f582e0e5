import type {Result} from '../result/failure.js';

/**
 * The replicated state machine. It must be deterministic: the same entries in
 * the same order give the same state.
 */
export abstract class StateMachine {
  /** Applies one committed entry; the result is returned to the proposer. */
  abstract apply(index: number, entry: Uint8Array): Uint8Array;
  /** Serializes the whole state. */
  abstract snapshot(): Uint8Array;
  /** Replaces the whole state by that of a snapshot at `index`. */
  abstract restore(index: number, snapshot: Uint8Array): void;
}

/** The present role of a process in the group. */
export type Role = 'learner' | 'follower' | 'candidate' | 'leader';

/** One control process of the group, with its addresses. */
export interface Member {
  readonly name: string;
  /** Address of its listener for the other members. */
  readonly address: string;
  readonly failureDomain: string;
  /**
   * Address of its listener for operators. The member announces it itself; it
   * is absent until then.
   */
  readonly operatorAddress?: string;
  /**
   * Address of its listener for nodes, relays and other control processes,
   * announced by the member itself as well.
   */
  readonly distributionAddress?: string;
}

/** The state of one control process, for operators and metrics. */
export interface Status {
  readonly role: Role;
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly voters: readonly Member[];
  /** Members that receive the log and have no vote yet. */
  readonly learners: readonly Member[];
  /**
   * The members that other processes reported to a process that is not a
   * member; empty at a member.
   */
  readonly reportedMembers: readonly Member[];
  /** Bytes sent to the other members since the process started. */
  readonly bytesOut: number;
  /** Size of the log on disk in bytes. */
  readonly logBytes: number;
}

/** One control process's interface to the control group. */
export interface Consensus {
  /**
   * Commits one entry. Resolves with the state machine's result once the entry
   * is synced on a majority and applied on this process. Fails with
   * `not-leader` when the entry was not proposed, and with `outcome-unknown`
   * when leadership ended before the result was known.
   */
  propose(entry: Uint8Array): Promise<Result<Uint8Array>>;
  /**
   * Resolves, once this process has applied it, with an index that covers every
   * change accepted before the call.
   */
  readBarrier(): Promise<Result<number>>;
  status(): Status;
  /** Adds a member and removes another; only one replacement may be running. */
  replace(leaving: string, joining: Member): Promise<Result<void>>;
  /** Calls `observe` after each applied entry or restored snapshot. */
  onApplied(observe: (index: number) => void): void;
  /** Calls `observe` after each change of this process's role or the leader. */
  onRoleChange(observe: (status: Status) => void): void;
  /** Calls `observe` when the members or their announced addresses change. */
  onMembersChange(observe: () => void): void;
  /** Stops this member; a leader first hands leadership over. */
  stop(): Promise<void>;
}

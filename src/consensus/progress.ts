import type {Voter} from './messages.js';

/**
 * How the leader replicates to a follower.
 * - `probe`: one append request at a time until one matches the follower's log.
 * - `stream`: batches are sent ahead of the acknowledgements, up to a limit.
 * - `snapshot`: the entries that the follower needs are compacted away; parts
 *   of a snapshot are sent one at a time.
 */
export type ReplicationMode = 'probe' | 'stream' | 'snapshot';

/** The leader's replication state for one follower or learner. */
export interface Progress {
  readonly peer: Voter;
  mode: ReplicationMode;
  /** Index of the next entry to send. */
  nextIndex: number;
  /**
   * The follower's log is synced and equal to the leader's up to this index.
   */
  matchIndex: number;
  /** Last index of each batch that was sent and is not acknowledged. */
  pendingBatches: number[];
  /** Bytes of the snapshot that the follower has received. */
  offset: number;
  /** Index of the snapshot being sent. */
  snapshotIndex: number;
  /** When the last answer was received. */
  contactAt: number;
  /** When the probe or snapshot part was sent whose answer is outstanding. */
  waitingSince: number | undefined;
  /** Latest quorum round that the follower answered. */
  answeredRound: number;
}

/** Creates the replication state for a member at the start of a term. */
export function createProgress(
  peer: Voter,
  lastIndex: number,
  now: number,
): Progress {
  return {
    peer,
    mode: 'probe',
    nextIndex: lastIndex + 1,
    matchIndex: 0,
    pendingBatches: [],
    offset: 0,
    snapshotIndex: 0,
    contactAt: now,
    waitingSince: undefined,
    answeredRound: 0,
  };
}

import type {Voter} from './messages.js';

/**
 * How a follower is fed.
 * - `probe`: one append at a time until one fits its log.
 * - `stream`: batches ahead of the acknowledgements, within a window.
 * - `snapshot`: the log no longer reaches it; parts of a snapshot, one by one.
 */
export type ReplicationMode = 'probe' | 'stream' | 'snapshot';

/** What the leader knows of one follower or learner. */
export interface Progress {
  readonly peer: Voter;
  mode: ReplicationMode;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Synced there and equal to the own log up to here. */
  matchIndex: number;
  /** Last index of each batch sent and not acknowledged. */
  pendingBatches: number[];
  /** Bytes of the snapshot that are there. */
  offset: number;
  /** Index of the snapshot being sent. */
  snapshotIndex: number;
  /** When an answer last came. */
  contactAt: number;
  /** When a probe or snapshot part left that has no answer yet. */
  waitingSince: number | undefined;
  /** Latest quorum round it answered. */
  answeredRound: number;
}

/** Creates what is known of a member at the start of a term. */
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

/** What nodes report about the versions of a service that is rolled out. */

/** Whether a request went to a stable version or to the target of a roll-out. */
export type VersionRole = 'stable' | 'target';

/** Requests that one node sent on one route, since the order of the roll-out. */
export interface OutcomeCounts {
  readonly role: VersionRole;
  readonly route: string;
  /** The instance of the target; empty for all instances of stable versions. */
  readonly instance: string;
  /** Requests sent, including those that are running. */
  readonly sent: number;
  /** Requests that ran to an end. */
  readonly answers: number;
  /** Of these, those that failed. */
  readonly failures: number;
  /** Numbers of answers by duration; see `duration-buckets.ts`. */
  readonly durations: readonly number[];
}

/**
 * The state of one node's requests for a service. All counts grow from the order
 * of the roll-out on, so that a report may arrive twice or out of order.
 */
export interface RolloutReport {
  readonly service: string;
  /** Number of the order. */
  readonly order: number;
  readonly node: string;
  /** Start of the node's process; its counts begin again with each start. */
  readonly life: string;
  /** Increases with each report of one life. */
  readonly sequence: number;
  /** The version of the configuration in force at the node. */
  readonly version: number;
  /** Whether a quorum has confirmed that configuration recently. */
  readonly isConfirmed: boolean;
  /** Requests of the node that are running at stable versions. */
  readonly stableRunning: number;
  /** The counts that have changed since the last report over the same link. */
  readonly counts: readonly OutcomeCounts[];
}

/** What a home sends to other homes: the news of its nodes. */
export interface RolloutReports {
  readonly reports: readonly RolloutReport[];
}

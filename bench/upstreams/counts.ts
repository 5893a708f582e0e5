/** Counts of what an instance did, for the checks of benches and scenarios. */

/** The counts as `GET /counts` returns them. */
export interface Counts {
  /**
   * Number of runs by idempotency key, or by tag for requests without a key.
   */
  readonly runs: Record<string, number>;
  /** SHA-256 digests of complete uploads, by path. */
  readonly uploads: Record<string, string>;
  readonly begun: number;
  readonly finished: number;
  readonly shed: number;
  /** Work that was cancelled because its caller disconnected. */
  readonly cancelled: number;
  /** Work that was cancelled because its deadline passed. */
  readonly expired: number;
  readonly cutUploads: number;
  /** Work that arrived while the instance was draining. */
  readonly lateWork: number;
  /** Milliseconds from the start of the drain to the last such arrival. */
  readonly latestWork: number;
  readonly greatestConcurrency: number;
  readonly greatestConnections: number;
}

/** Counts that are still being updated. */
export type MutableCounts = {-readonly [name in keyof Counts]: Counts[name]};

/** Creates counts that are all zero. */
export function createCounts(): MutableCounts {
  return {
    runs: {},
    uploads: {},
    begun: 0,
    finished: 0,
    shed: 0,
    cancelled: 0,
    expired: 0,
    cutUploads: 0,
    lateWork: 0,
    latestWork: 0,
    greatestConcurrency: 0,
    greatestConnections: 0,
  };
}

/** What an instance did, for the checks of benches and scenarios. */

/** The counts as `GET /counts` gives them. */
export interface Counts {
  /** Times that work began, by idempotency key (by tag where none came). */
  readonly runs: Record<string, number>;
  /** SHA-256 digests of whole uploads, by path. */
  readonly uploads: Record<string, string>;
  readonly begun: number;
  readonly finished: number;
  readonly shed: number;
  /** Work given up because its caller left. */
  readonly cancelled: number;
  /** Work given up because its deadline passed. */
  readonly expired: number;
  readonly cutUploads: number;
  /** Work that came while draining, and how late the last came, in ms. */
  readonly lateWork: number;
  readonly latestWork: number;
  readonly greatestConcurrency: number;
  readonly greatestConnections: number;
}

/** The counts while they grow. */
export type MutableCounts = {-readonly [name in keyof Counts]: Counts[name]};

/** Creates empty counts. */
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

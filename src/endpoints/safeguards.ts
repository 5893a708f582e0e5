/**
 * Safeguards that a test can turn off to show the failure that each prevents. A
 * process always runs with all of them.
 */
export interface Safeguards {
  /** Older announcements never replace newer ones. */
  readonly order: boolean;
  /** Homes compare digests, so that lost records are sent again. */
  readonly comparison: boolean;
  /** Only homes in an instance's region may declare it gone. */
  readonly region: boolean;
  /** A home that other homes can still reach is not presumed dead. */
  readonly indirectReachability: boolean;
  /** Of two processes with one id or gate, the one that still renews wins. */
  readonly contest: boolean;
}

/** The safeguards of every process. */
export const allSafeguards: Safeguards = {
  order: true,
  comparison: true,
  region: true,
  indirectReachability: true,
  contest: true,
};

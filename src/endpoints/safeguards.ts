/**
 * Safeguards that a test can leave out to show the failure each prevents. A
 * process always runs with all of them.
 */
export interface Safeguards {
  /** Older announcements never replace newer ones. */
  readonly order: boolean;
  /** Homes compare digests, so that a lost record is sent again. */
  readonly comparison: boolean;
  /** Only homes of its own region declare an instance gone. */
  readonly region: boolean;
  /** A home that others still hear is not taken for dead. */
  readonly indirectReachability: boolean;
  /** Two claims to one id or gate are settled by who still renews. */
  readonly contest: boolean;
}

/** What every process runs with. */
export const allSafeguards: Safeguards = {
  order: true,
  comparison: true,
  region: true,
  indirectReachability: true,
  contest: true,
};

/** Bounds and periods of the fleet plane; times in milliseconds. */
export const fleetLimits = {
  /** Silence after which a link is considered dead. */
  silenceTimeout: 3500,
  /** How long a lost node is counted as unknown. */
  lostRetention: 30_000,
  /** Minimum time between two reports. */
  minReportInterval: 200,
  /** Maximum time between two reports. */
  maxReportInterval: 1000,
  /**
   * Difference between the clocks of a VM, over the age of a confirmation, that
   * is not reported; a clock that is being corrected drifts by less.
   */
  clockDrift: 20,
  /** Age above which the summary of a home no longer shows what is in force. */
  maxSummaryAge: 5000,
  /**
   * Age above which the summary of a home is dropped. A region may be cut off
   * for many minutes; until then its nodes are counted as unknown.
   */
  summaryRetention: 3_600_000,
  /** How long a home reports a node that arrived from another home. */
  arrivalRetention: 60_000,
  /** Time after the start within which links may not be open yet. */
  linkSetupTime: 3000,
  /** Time after the start for which a silent peer home is waited for. */
  peerTimeout: 10_000,
  /**
   * Maximum number of names of lost nodes in a domain summary, and of arrivals
   * in a summary.
   */
  names: 512,
  /** Maximum number of names of laggards in a summary. */
  laggards: 20,
  /**
   * Maximum number of versions that are counted separately in each failure
   * domain.
   */
  versions: 8,
} as const;

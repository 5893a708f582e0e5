/** Bounds and periods of the fleet's bookkeeping; times in milliseconds. */
export const fleetLimits = {
  /** Silence after which a link counts as dead. */
  silence: 3500,
  /** How long a lost node is counted as unknown. */
  remembered: 30_000,
  /** Shortest time between two reports. */
  reportPeriod: 200,
  /** Longest time between two reports. */
  reportIdle: 1000,
  /** Age after which a home's summary no longer says what is in force. */
  summaryAge: 5000,
  /**
   * Age after which a home's summary is dropped. A region may be cut off for
   * many minutes; until then its nodes count as unknown.
   */
  summaryDropped: 3_600_000,
  /** How long a home tells of a node that came from another. */
  arrivalTold: 60_000,
  /** Time after the start in which links may not have been opened yet. */
  settling: 3000,
  /** Time after the start for which a silent fellow is waited for. */
  fellowsAwaited: 10_000,
  /** Names of lost nodes of a domain, and arrivals, in a summary. */
  names: 512,
  /** Names of laggards in a summary. */
  laggards: 20,
  /** Versions counted apart in each failure domain. */
  versions: 8,
} as const;

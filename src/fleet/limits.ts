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
  /** Age after which a home's summary is dropped. */
  summaryDropped: 60_000,
  /** Names of lost nodes of a domain, and arrivals, in a summary. */
  names: 512,
  /** Names of laggards in a summary. */
  laggards: 20,
  /** Versions counted apart in each failure domain. */
  versions: 8,
} as const;

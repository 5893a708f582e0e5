/** Periods of the quotas' protocol in milliseconds. */
export const quotaPeriods = {
  /** Interval at which a home reports to the leader and its lease is renewed. */
  renewal: 250,
  /** Time for which a home uses its shares after a report that was answered. */
  lease: 2_500,
  /** Age of a confirmation of the leader's term up to which it replies. */
  leadership: 500,
  /** Time without a reply after which a home looks for the leader. */
  leaderSilence: 500,
  /** Maximum time between a node's question and the use of the credit. */
  askTimeout: 250,
  /** Time in which requests without a credit are gathered into one question. */
  askDelay: 2,
  /** Interval at which a node reports the credits that it has used. */
  nodeReport: 200,
  /** Time for which a home waits for credits of another home or for a share. */
  homeWait: 100,
} as const;

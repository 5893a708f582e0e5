/** Bounds and periods of distribution; times in milliseconds. */
export const distributionLimits = {
  /** Period of the pings of a node; their answers carry the freshness mark. */
  nodeHeartbeat: 1000,
  /**
   * Period of the pings of a relay; short, since the marks of its nodes depend
   * on its own.
   */
  relayHeartbeat: 250,
  /**
   * Period of the quorum rounds that renew the freshness mark of a control
   * process.
   */
  freshnessRoundPeriod: 250,
  /** Age above which a confirmation is no longer fresh. */
  freshness: 3000,
  /**
   * Fraction of `freshness` after which a confirmation is overdue and other
   * homes are probed. The resulting age is more than two ping periods and a
   * quorum round, so that a home that answers is not overdue.
   */
  overdueShare: 2 / 3,
  /**
   * Delay until another home is probed concurrently with one that has not
   * answered, or the round ends.
   */
  nextProbeDelay: 250,
  /** How long an open link may remain without an answer. */
  answerTimeout: 2000,
  /** Homes probed concurrently: one more than may fail together. */
  maxConcurrentProbes: 3,
  /**
   * Maximum number of homes that are probed in one round while the confirmation
   * is overdue. It bounds the load of a fleet without a quorum, when all nodes
   * search.
   */
  maxOverdueProbes: 4,
  /** Minimum time between two log lines about searches without a result. */
  failedSearchLogPeriod: 5000,
  /**
   * How long a home may be silent before its link is closed. Other homes are
   * probed long before that; on a full link the messages of the home may still
   * be in transit.
   */
  silenceTimeout: 3000,
  /** How long a failed home is tried after all others. */
  suspicionPeriod: 10_000,
  /**
   * How many times the suspicion period may double while no home has a fresh
   * mark.
   */
  maxSuspicionDoublings: 5,
  /** Period, with jitter, after which a process searches for a nearer home. */
  nearerSearchPeriod: 30_000,
  /**
   * Delay, with jitter, until a process searches for a nearer home that it has
   * just learned of. The jitter keeps the nodes of a failure domain from moving
   * at the same time.
   */
  learnedHomeDelay: 1000,
  /** Delay before a reconnect after a lost link. */
  reconnectDelay: {first: 200, most: 5000},
  /** How long a nonce may remain unanswered. */
  proofTimeout: 2000,
  /** How long a request for differing sections may remain unanswered. */
  compareTimeout: 2000,
  /** Number of states that are kept for deltas. */
  ringLength: 1024,
  /** Bytes of state sent per second to subscribers that synchronize. */
  syncBytesPerSecond: 16 * 1024 * 1024,
  /**
   * Bytes that are added to the cost of each synchronization, for its processor
   * time.
   */
  syncOverheadBytes: 8 * 1024,
  /**
   * Capacity of the queue of synchronizations, in seconds of the above rate;
   * the rest are postponed.
   */
  maxSyncQueueSeconds: 1,
  /** Period of the admission of queued synchronizations. */
  syncAdmissionPeriod: 20,
  /** Unsent bytes of a link above which its pushes are held back. */
  maxPendingBytes: 1024 * 1024,
  /** Period of the retries of pushes that were held back. */
  heldPushPeriod: 100,
} as const;

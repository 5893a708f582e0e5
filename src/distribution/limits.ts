/** Bounds and periods of distribution; times in milliseconds. */
export const distributionLimits = {
  /** Period of a node's pings; the freshness mark rides on their answers. */
  nodeHeartbeat: 1000,
  /** Period of a relay's pings, short as its nodes' marks build on its own. */
  relayHeartbeat: 250,
  /** Period of the quorum rounds that renew control's freshness mark. */
  freshnessRound: 250,
  /** Age of a confirmation after which it no longer counts as fresh. */
  freshness: 3000,
  /**
   * Share of that age at which other homes are asked. More than two pings and a
   * quorum round apart, so that a home that answers is not doubted.
   */
  doubt: 2 / 3,
  /** Time after which another home is asked beside one that has not answered. */
  askPatience: 250,
  /** How long an open link may stay without an answer. */
  answerTimeout: 2000,
  /** Homes asked at once: one more than may be lost together. */
  askedAtOnce: 3,
  /** Pause between rounds while the present home is doubted and none is better. */
  doubtPause: {first: 1000, most: 10_000},
  /**
   * How long a home may say nothing before its link is given up. Others are
   * asked long before; on a full link what it said may still be on its way.
   */
  silence: 3000,
  /** How long a home that failed is tried after all others. */
  suspicion: 10_000,
  /** How often that time may double while no home shows a fresh mark. */
  suspicionDoublings: 5,
  /** Period, jittered, after which a process looks for a nearer home again. */
  returnPeriod: 30_000,
  /** Delay before a lost link is opened again. */
  reconnect: {first: 200, most: 5000},
  /** How long a nonce may stay without an answer. */
  proofTimeout: 2000,
  /** How long a request for differing sections may stay without an answer. */
  compareTimeout: 2000,
  /** States remembered for deltas. */
  ringLength: 1024,
  /** Bytes of state that may be handed out in a second. */
  syncBytesPerSecond: 16 * 1024 * 1024,
  /** Bytes that a sync counts for besides its own, for its processor time. */
  syncOverhead: 8 * 1024,
  /** Seconds' worth of syncs that may wait; the rest are told to come back. */
  syncHorizon: 1,
  /** Period in which waiting syncs are admitted. */
  syncTick: 20,
  /** Bytes not yet taken by a link above which its pushes are held. */
  pendingBytes: 1024 * 1024,
  /** Period in which held pushes are tried again. */
  pendingTick: 100,
} as const;

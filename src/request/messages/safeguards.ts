/**
 * Safeguards of the request path that tests can disable to show the failure
 * that each one prevents. For tests only: a process always runs with all of
 * them.
 */
export interface Safeguards {
  /** A failed call that may have reached its upstream has an unknown effect. */
  readonly unknownEffect: boolean;
  /** A call that may have run is retried only if it is idempotent. */
  readonly once: boolean;
  /**
   * Calls with buffered bodies use a framed link, on which no header can be
   * mistaken for a refusal. If disabled, each call uses an HTTP connection.
   */
  readonly framedLinks: boolean;
  /** Internal headers that come from outside the mesh are removed. */
  readonly internalHeaders: boolean;
  /**
   * An answer without framing, which could be truncated unnoticed, is an error.
   */
  readonly framing: boolean;
  /** Answers to other requests are removed if they can be recognized. */
  readonly strayAnswers: boolean;
  /**
   * A call that must not run twice is sent again on a connection that no answer
   * to its last attempt can arrive on.
   */
  readonly separateAttempts: boolean;
  /** A truncated answer resets its connection, which its receiver notices. */
  readonly visibleCuts: boolean;
  /** A gate accepts only calls that are addressed to its instance. */
  readonly instanceCheck: boolean;
  /** A gate refuses calls if its instance's version was never ordered. */
  readonly versionCheck: boolean;
  /**
   * Only the first bytes of a large upload are sent before its admission, so
   * that it can be retried.
   */
  readonly heldUploads: boolean;
  /** A call whose caller has disconnected is cancelled. */
  readonly cancellation: boolean;
  /** A cancelled call keeps its slot until the upstream has closed. */
  readonly heldSlots: boolean;
  /** The gate checks for a drain again when a call leaves the queue. */
  readonly drainAtStart: boolean;
  /** A quarantined request is refused. */
  readonly quarantine: boolean;
  /** A gate keeps to the limit that its upstream names in answers. */
  readonly limit: boolean;
  /** A gate refuses calls once its upstream reports its shutdown in answers. */
  readonly reportedShutdown: boolean;
  /** A gate that has restarted takes over what entries heard of its upstream. */
  readonly adoptedReports: boolean;
}

/** The safeguards of a process. */
export const allSafeguards: Safeguards = {
  unknownEffect: true,
  once: true,
  framedLinks: true,
  internalHeaders: true,
  framing: true,
  strayAnswers: true,
  separateAttempts: true,
  visibleCuts: true,
  instanceCheck: true,
  versionCheck: true,
  heldUploads: true,
  cancellation: true,
  heldSlots: true,
  drainAtStart: true,
  quarantine: true,
  limit: true,
  reportedShutdown: true,
  adoptedReports: true,
};

/** All safeguards, with the changes of a test. */
export function resolveSafeguards(
  changes: Partial<Safeguards> | undefined,
): Safeguards {
  return changes === undefined ? allSafeguards : {...allSafeguards, ...changes};
}

/**
 * Safeguards of the request path that tests can take out, to show the failure
 * that each one prevents. Test only: a process runs with all of them.
 */
export interface Safeguards {
  /** Work that may have reached its upstream is `unknown`, not `not-run`. */
  readonly unknownEffect: boolean;
  /** Work that may have begun is sent again only when it is idempotent. */
  readonly once: boolean;
  /**
   * Calls with gathered bodies go by a framed link, on which no header can pass
   * for a refusal; without it by an HTTP connection each.
   */
  readonly framedLinks: boolean;
  /** Internal headers from outside the mesh are dropped. */
  readonly internalHeaders: boolean;
  /** An answer whose end cannot be told from a cut is an error. */
  readonly framing: boolean;
  /** A cut answer is reset, not ended. */
  readonly visibleCuts: boolean;
  /** A gate takes only calls that name its own instance. */
  readonly instanceCheck: boolean;
  /** A large upload waits for its admission, so that it can be sent elsewhere. */
  readonly heldUploads: boolean;
  /** Work whose caller has left is broken off. */
  readonly cancellation: boolean;
  /** The slot of broken-off work is held until its upstream has closed. */
  readonly heldSlots: boolean;
  /** The gate looks again for a drain when work leaves the queue. */
  readonly drainAtStart: boolean;
  /** A request that is held is refused. */
  readonly quarantine: boolean;
}

/** What a process runs with. */
export const allSafeguards: Safeguards = {
  unknownEffect: true,
  once: true,
  framedLinks: true,
  internalHeaders: true,
  framing: true,
  visibleCuts: true,
  instanceCheck: true,
  heldUploads: true,
  cancellation: true,
  heldSlots: true,
  drainAtStart: true,
  quarantine: true,
};

/** All safeguards but for those that a test has taken out. */
export function resolveSafeguards(
  changes: Partial<Safeguards> | undefined,
): Safeguards {
  return changes === undefined ? allSafeguards : {...allSafeguards, ...changes};
}

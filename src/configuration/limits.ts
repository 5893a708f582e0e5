/**
 * Limits of one deployment on its configuration; all are settings.
 *
 * `Bounds` decide how the replicated state grows, so every control process
 * must use the same ones on the same entry: the proposer's bounds travel in
 * the entry itself. The other limits are checked before the log only.
 */

/** Limits that `apply` needs; they travel in each entry. */
export interface Bounds {
  /** Services at once. */
  readonly services: number;
  /** Routes at once. */
  readonly routes: number;
  /** Policies at once. */
  readonly policies: number;
  /** Drains at once. */
  readonly drains: number;
  /** Quarantines at once. */
  readonly quarantines: number;
  /** Operators whose answers are kept, the most recent first. */
  readonly operators: number;
  /** Answers kept for one operator, the highest sequences. */
  readonly answers: number;
  /** Changes kept in the history. */
  readonly history: number;
}

/** Limits on one command, checked at the operators' API. */
export interface Limits extends Bounds {
  /** Characters in a name. */
  readonly nameLength: number;
  /** Characters in a route's prefix. */
  readonly prefixLength: number;
  /** Edits in one command. */
  readonly edits: number;
  /** Longest deadline of a policy, in milliseconds. */
  readonly deadline: number;
  /** Longest slow start of a service, in milliseconds. */
  readonly slowStart: number;
  /** Most attempts of a policy. */
  readonly attempts: number;
  /** Largest body limit of a policy, in bytes. */
  readonly bodyLimit: number;
  /** How far a sequence may be ahead of the clock, in milliseconds. */
  readonly sequenceAhead: number;
}

/** The part of the limits that travels in an entry. */
export function selectBounds(limits: Limits): Bounds {
  return {
    services: limits.services,
    routes: limits.routes,
    policies: limits.policies,
    drains: limits.drains,
    quarantines: limits.quarantines,
    operators: limits.operators,
    answers: limits.answers,
    history: limits.history,
  };
}

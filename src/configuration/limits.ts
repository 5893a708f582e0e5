/**
 * Limits of a deployment on its configuration; all are settings.
 *
 * `Bounds` determine how the replicated state grows, so all control processes
 * must use the same ones for the same entry. Therefore each entry contains the
 * bounds of its proposer. The other limits are only checked before a command is
 * written to the log.
 */

/** Limits that `apply` uses; each entry contains them. */
export interface Bounds {
  /** Maximum number of services. */
  readonly services: number;
  /** Maximum number of routes. */
  readonly routes: number;
  /** Maximum number of policies. */
  readonly policies: number;
  /** Maximum number of drains. */
  readonly drains: number;
  /** Maximum number of quarantines. */
  readonly quarantines: number;
  /** Maximum number of workspaces. */
  readonly workspaces: number;
  /** Maximum number of keys of all workspaces together. */
  readonly keys: number;
  /** Maximum number of departures of upstreams. */
  readonly departures: number;
  /** Number of operators, most recently active, whose answers are stored. */
  readonly operators: number;
  /** Number of answers, those of the highest sequences, stored per operator. */
  readonly answers: number;
  /** Number of changes in the history. */
  readonly history: number;
}

/** Limits on one command, which the operators' API checks. */
export interface Limits extends Bounds {
  /** Maximum length of a name in characters. */
  readonly nameLength: number;
  /** Maximum length of a route's prefix in characters. */
  readonly prefixLength: number;
  /** Maximum number of edits in one command. */
  readonly edits: number;
  /** Maximum deadline of a policy, in milliseconds. */
  readonly deadline: number;
  /** Maximum slow start of a service, in milliseconds. */
  readonly slowStart: number;
  /** Maximum duration of a roll-out, in milliseconds. */
  readonly rollout: number;
  /** Maximum number of attempts of a policy. */
  readonly attempts: number;
  /** Maximum body limit of a policy, in bytes. */
  readonly bodyLimit: number;
  /** Maximum lead of a sequence over the clock, in milliseconds. */
  readonly sequenceAhead: number;
}

/** The part of the limits that an entry contains. */
export function selectBounds(limits: Limits): Bounds {
  return {
    services: limits.services,
    routes: limits.routes,
    policies: limits.policies,
    drains: limits.drains,
    quarantines: limits.quarantines,
    workspaces: limits.workspaces,
    keys: limits.keys,
    departures: limits.departures,
    operators: limits.operators,
    answers: limits.answers,
    history: limits.history,
  };
}

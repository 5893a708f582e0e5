/** The configuration plane's data: what operators put and proxies obey. */

/** How far an announced upstream must be trusted and used; see `Policy`. */
export type Priority = 'critical' | 'normal' | 'background';

/** Whether a request may be run again. */
export type Repeatability = 'idempotent' | 'once';

/** One life of a node that holds claims; a restarted node is another one. */
export interface Keeper {
  /** The instance beside it, for operators; address and incarnation name it. */
  readonly instance: string;
  /** Differs at each start of its node's process, whose memory it names. */
  readonly incarnation: number;
  /** Where it takes keeper messages, an IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
}

/** The keepers of a service's claims in one epoch; see docs/design/claims.md. */
export interface KeeperSet {
  /** Rises by one with each set of the service. */
  readonly epoch: number;
  readonly members: readonly Keeper[];
}

/** Who holds a service's claims; put by the leader, never by operators. */
export interface KeeperAssignment extends KeeperSet {
  /** The set whose claims must be copied first; absent when there is none. */
  readonly previous?: KeeperSet;
  /**
   * Milliseconds that the members wait before they hold claims, counted from
   * when they learn of the set: after a loss of claims, until no resend of a
   * lost one is within the retention time. Absent for none.
   */
  readonly quarantine?: number;
}

/** A group of upstream instances that answer the same requests. */
export interface Service {
  readonly name: string;
  /** Milliseconds over which a new instance's share grows; 0 for none. */
  readonly slowStart: number;
  /** Who holds its claims; kept as it is when an operator puts the service. */
  readonly keepers?: KeeperAssignment;
}

/** A promise about a service's answers, used by the burn report. */
export interface Objective {
  /** Share of requests, 0 to 1, that must be good. */
  readonly target: number;
  /** Milliseconds within which an answer counts as good. */
  readonly latency: number;
}

/** How requests on a route are treated. */
export interface Policy {
  readonly name: string;
  readonly priority: Priority;
  /** Milliseconds that a request may take when its caller sets no deadline. */
  readonly deadline: number;
  /** Attempts at most, the first included. */
  readonly attempts: number;
  readonly repeatability: Repeatability;
  /** Largest request body in bytes. */
  readonly bodyLimit: number;
  readonly objective: Objective;
}

/** Which requests go to which service, under which policy. */
export interface Route {
  readonly name: string;
  /** Longest matching prefix of the path wins, then the method's own. */
  readonly prefix: string;
  /** Methods it takes; empty for all. */
  readonly methods: readonly string[];
  readonly service: string;
  readonly policy: string;
}

/** An operator's order that one instance takes no new work. */
export interface Drain {
  /** The instance's id; drains are named by it. */
  readonly name: string;
  readonly service: string;
}

/** The kinds of item that a configuration holds. */
export type Kind = 'service' | 'route' | 'policy' | 'drain';

/** One item with its kind. */
export type Item =
  | {readonly kind: 'service'; readonly value: Service}
  | {readonly kind: 'route'; readonly value: Route}
  | {readonly kind: 'policy'; readonly value: Policy}
  | {readonly kind: 'drain'; readonly value: Drain};

/** A whole configuration in force at one version; never changed in place. */
export interface Configuration {
  /** The log index of the last change; 0 before the first. */
  readonly version: number;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: ReadonlyMap<string, Route>;
  readonly policies: ReadonlyMap<string, Policy>;
  readonly drains: ReadonlyMap<string, Drain>;
}

/** The configuration before the first change. */
export const emptyConfiguration: Configuration = {
  version: 0,
  services: new Map(),
  routes: new Map(),
  policies: new Map(),
  drains: new Map(),
};

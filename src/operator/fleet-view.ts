/** What the fleet plane knows of the versions in force on nodes. */

/** A node that is behind. */
export interface Laggard {
  readonly name: string;
  readonly failureDomain: string;
  readonly version: number;
}

/** The nodes of one failure domain. */
export interface DomainSummary {
  readonly failureDomain: string;
  readonly nodes: number;
  /** The least version in force on any of them; absent without nodes. */
  readonly leastVersion?: number;
}

/** What is in force where. */
export interface FleetSummary {
  readonly nodes: number;
  /** The least version in force on any node; absent without nodes. */
  readonly leastVersion?: number;
  readonly domains: readonly DomainSummary[];
  /** Nodes behind the newest version, a bounded number of them. */
  readonly laggards: readonly Laggard[];
}

/** Where the operators' API learns what is in force. */
export interface FleetView {
  summary(): FleetSummary;
}

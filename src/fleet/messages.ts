/**
 * The messages of the fleet plane: who is at the other end, heartbeats with
 * the freshness mark, and acknowledgements. Times are in milliseconds.
 */

import type {Address} from '../link/link.js';

/** What a process of the system is. */
export type ProcessKind = 'node' | 'relay' | 'control';

/** From the end that opened a link; only pings may come before. */
export interface Hello {
  readonly kind: ProcessKind;
  readonly name: string;
  readonly failureDomain: string;
  readonly region: string;
  /** The home that the sender had a link to before, if it had another. */
  readonly from?: string;
}

/** What a home tells its nodes of its own state. */
export interface HomePosition {
  /** The version last sent to all; undefined before the first. */
  readonly version: number | undefined;
  /** Local time at which a quorum confirmed it; undefined if never. */
  readonly asOf: number | undefined;
}

/** Asks the home for its freshness mark and shows that the sender lives. */
export interface Ping {
  readonly kind: 'ping';
  readonly number: number;
  /** The version that the sender has in force; absent before the first. */
  readonly version?: number;
}

/** A process that nodes may keep their link to. */
export interface HomeAddress {
  readonly address: Address;
  readonly failureDomain?: string;
  readonly region?: string;
}

/** Answers a ping. */
export interface Pong {
  readonly kind: 'pong';
  readonly number: number;
  /** The home's name, in the first answer on a link. */
  readonly home?: string;
  /** Homes besides the asker's settings, when they differ from the last told. */
  readonly homes?: readonly HomeAddress[];
  /** Milliseconds since a quorum confirmed the home's state; absent if never. */
  readonly age?: number;
  /** The version that the home last sent to all of its subscribers. */
  readonly version?: number;
}

/** Tells that a node has switched to a version. */
export interface Acknowledgement {
  readonly kind: 'acknowledgement';
  readonly version: number;
}

/** Tells that a node ends the link by its own will. */
export interface Goodbye {
  readonly kind: 'goodbye';
}

/** Nodes that have one version in force. */
export interface VersionCount {
  readonly version: number;
  readonly nodes: number;
}

/** What one home knows of its nodes in one failure domain; of bounded size. */
export interface DomainSummary {
  readonly failureDomain: string;
  /** Nodes whose link is up. */
  readonly nodes: number;
  /** Nodes whose link ended without a goodbye, for a while. */
  readonly unknown: number;
  /** Names of such nodes; 512 at most. */
  readonly lost: readonly string[];
  /** Nodes that have nothing in force yet. */
  readonly starting: number;
  /** Least version in force; absent when no node has one. */
  readonly least?: number;
  /** Newest first; the last entry also counts nodes with older ones. */
  readonly versions: readonly VersionCount[];
}

/** A node that came to a home from another one, not long ago. */
export interface Arrival {
  readonly node: string;
  readonly from: string;
  readonly failureDomain: string;
  /** Milliseconds since it came, when the summary was made. */
  readonly age: number;
}

/** What one home knows of its nodes; of bounded size. */
export interface HomeSummary {
  readonly home: string;
  /** Milliseconds since it was made, as the sender knows it. */
  readonly age: number;
  readonly version: number;
  readonly domains: readonly DomainSummary[];
  /** Names of nodes that lack `version`, oldest first; 20 at most. */
  readonly laggards: readonly string[];
  /** Nodes that came from other homes; 512 at most. */
  readonly arrivals: readonly Arrival[];
}

/** Carries summaries from a home to control or between control processes. */
export interface Report {
  readonly kind: 'report';
  readonly summaries: readonly HomeSummary[];
}

/** Any message of the fleet plane but the first. */
export type FleetMessage = Ping | Pong | Acknowledgement | Goodbye | Report;

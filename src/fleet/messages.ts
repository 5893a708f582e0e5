/**
 * The messages of the fleet plane: the identity of each process, heartbeats
 * with the freshness mark, and acknowledgements. Times are in milliseconds.
 */

import type {Address} from '../link/link.js';
import type {Moment} from '../time/moment.js';

/** The role of a process. */
export type ProcessKind = 'node' | 'relay' | 'control';

/**
 * First message of the process that opened a link; only pings may precede it.
 */
export interface Hello {
  readonly kind: ProcessKind;
  readonly name: string;
  readonly failureDomain: string;
  readonly region: string;
  /**
   * Name of the home to which the sender had a link before, if that was another
   * one.
   */
  readonly from?: string;
}

/** The state that a home has published to its nodes. */
export interface HomePosition {
  /** The version last pushed to all subscribers; undefined before the first. */
  readonly version: number | undefined;
  /**
   * Local time at which a quorum last confirmed that version; undefined if
   * never.
   */
  readonly asOf: number | undefined;
  /** The same by both clocks. */
  readonly confirmedAt?: Moment | undefined;
}

/** Requests the freshness mark of the home and serves as a heartbeat. */
export interface Ping {
  readonly kind: 'ping';
  readonly number: number;
  /** The version in force at the sender; absent before the first. */
  readonly version?: number;
}

/** A home that nodes may connect to. */
export interface HomeAddress {
  readonly address: Address;
  readonly failureDomain?: string;
  readonly region?: string;
}

/** Answers a ping. */
export interface Pong {
  readonly kind: 'pong';
  readonly number: number;
  /** Name of the home, in the first answer on a link. */
  readonly home?: string;
  /**
   * Homes in addition to the settings of the receiver, if they differ from
   * those last sent.
   */
  readonly homes?: readonly HomeAddress[];
  /**
   * Milliseconds since a quorum confirmed the state of the home; absent if
   * never.
   */
  readonly age?: number;
  /**
   * Milliseconds since a quorum confirmed the published version, with the time
   * for which VMs were suspended meanwhile; absent if `age` is about the same.
   */
  readonly fullAge?: number;
  /** The version that the home last pushed to all of its subscribers. */
  readonly version?: number;
}

/** Reports that a node has switched to a version. */
export interface Acknowledgement {
  readonly kind: 'acknowledgement';
  readonly version: number;
}

/** Sent by a process before it closes its link deliberately. */
export interface Goodbye {
  readonly kind: 'goodbye';
}

/** Number of nodes with one version in force. */
export interface VersionCount {
  readonly version: number;
  readonly nodes: number;
}

/** State of the nodes of one home in one failure domain; of bounded size. */
export interface DomainSummary {
  readonly failureDomain: string;
  /** Nodes with an open link. */
  readonly nodes: number;
  /** Nodes whose link was closed without a `Goodbye`, for a limited time. */
  readonly unknown: number;
  /** Names of such nodes; at most 512. */
  readonly lost: readonly string[];
  /** Nodes without any version in force. */
  readonly starting: number;
  /** Lowest version in force; absent if no node has one. */
  readonly least?: number;
  /** Newest first; the last entry also counts the nodes with older versions. */
  readonly versions: readonly VersionCount[];
}

/** A node that recently moved to a home from another one. */
export interface Arrival {
  readonly node: string;
  readonly from: string;
  readonly failureDomain: string;
  /** Milliseconds between the arrival and the making of the summary. */
  readonly age: number;
}

/** State of the nodes of one home; of bounded size. */
export interface HomeSummary {
  readonly home: string;
  /** Milliseconds since the summary was made, as far as the sender knows. */
  readonly age: number;
  readonly version: number;
  readonly domains: readonly DomainSummary[];
  /**
   * Names of nodes that lack `version`, those with the oldest version first; at
   * most 20.
   */
  readonly laggards: readonly string[];
  /** Nodes that arrived from other homes; at most 512. */
  readonly arrivals: readonly Arrival[];
}

/**
 * Contains summaries, sent from a home to control or between control processes.
 */
export interface Report {
  readonly kind: 'report';
  readonly summaries: readonly HomeSummary[];
}

/** Any message of the fleet plane except the first. */
export type FleetMessage = Ping | Pong | Acknowledgement | Goodbye | Report;

import type {Effect} from '../result/code.js';
import type {Change} from '../configuration/history.js';
import type {Item} from '../configuration/configuration.js';
import type {Member, Role} from '../consensus/consensus.js';
import type {FleetSummary} from '../fleet/summary.js';

/** A refusal or failure as it is sent to the client. */
export interface Refusal {
  readonly code: number;
  readonly name: string;
  readonly effect: Effect;
  readonly message: string;
  /**
   * Address of the leader's operators' API, if the request must be sent there.
   */
  readonly leader?: string;
}

/** A reply of the operators' API. */
export type Reply<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly refusal: Refusal};

/** Items of the configuration, with its version. */
export interface Items {
  readonly version: number;
  readonly items: readonly Item[];
}

/** Recent changes, the newest first. */
export interface History {
  readonly version: number;
  readonly changes: readonly Change[];
}

/** The control group as the answering process sees it. */
export interface ControlView {
  readonly name: string;
  readonly role: Role;
  readonly term: number;
  readonly leader?: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly appliedIndex: number;
  readonly version: number;
  /** Digest of the whole replicated state at `appliedIndex`. */
  readonly digest: string;
  readonly members: readonly Member[];
  /** Members that receive the log but do not vote yet. */
  readonly learners: readonly Member[];
}

/** The versions in force across the fleet. */
export interface InForceStatus {
  /**
   * Whether a majority confirmed that `summary.version` is the newest version.
   */
  readonly confirmed: boolean;
  readonly summary: FleetSummary;
}

/** The result of a wait. */
export interface WaitResult {
  readonly version: number;
  /**
   * Whether the version is in force on all known nodes; false if no node is
   * known.
   */
  readonly inForce: boolean;
  readonly summary: FleetSummary;
}

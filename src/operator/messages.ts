import type {Effect} from '../result/code.js';
import type {Change} from '../configuration/history.js';
import type {Item} from '../configuration/configuration.js';
import type {Member, Role} from '../consensus/consensus.js';
import type {FleetSummary} from '../fleet/summary.js';

/** A refusal or failure as it travels to the client. */
export interface Refusal {
  readonly code: number;
  readonly name: string;
  readonly effect: Effect;
  readonly message: string;
  /** The operators' address of the leader, when another process must be asked. */
  readonly leader?: string;
}

/** What the operators' API answers. */
export type Reply<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly refusal: Refusal};

/** Items in force at one version. */
export interface Items {
  readonly version: number;
  readonly items: readonly Item[];
}

/** The history, newest first. */
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
  /** Members that receive the log and do not count yet. */
  readonly learners: readonly Member[];
}

/** What is in force where. */
export interface InForceStatus {
  /** Whether a majority confirmed that `summary.version` is the newest. */
  readonly confirmed: boolean;
  readonly summary: FleetSummary;
}

/** The answer to a wait. */
export interface WaitResult {
  readonly version: number;
  /** Whether every known node has it; never true without a node. */
  readonly inForce: boolean;
  readonly summary: FleetSummary;
}

import type {Effect} from '../result/code.js';
import type {Change} from '../configuration/history.js';
import type {Item} from '../configuration/configuration.js';
import type {Member, Role} from '../consensus/consensus.js';

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
}

/** The answer to a wait. */
export interface Waited {
  readonly version: number;
  readonly inForce: boolean;
  readonly leastVersion?: number;
  readonly nodes: number;
}

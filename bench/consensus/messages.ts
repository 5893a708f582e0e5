import type {Member, Role} from '../../src/consensus/consensus.js';

/** Requests of a bench or test to a member's process over Node.js IPC. */
export type Request =
  | {readonly kind: 'propose'; readonly name: string; readonly text: string}
  /** Proposes `count` changes, `concurrency` of them at a time. */
  | {
      readonly kind: 'load';
      readonly count: number;
      readonly concurrency: number;
      readonly bytes: number;
      /** Number of names that the changes are spread over. */
      readonly names: number;
    }
  | {readonly kind: 'read'}
  | {readonly kind: 'get'; readonly name: string}
  | {readonly kind: 'view'}
  /** Stops the member gracefully and exits. */
  | {readonly kind: 'stop'}
  | {
      readonly kind: 'replace';
      readonly leaving: string;
      readonly joining: Member;
    };

/** The reply to a request; `value` is undefined for a failure. */
export interface Reply {
  readonly id: number;
  readonly value?: unknown;
  /** Number of the failure's result code. */
  readonly code?: number;
}

/** The result of a load. */
export interface LoadReport {
  readonly accepted: number;
  /** Duration of the whole load in milliseconds. */
  readonly duration: number;
  /** Milliseconds from the proposal to its result. */
  readonly p50: number;
  readonly p99: number;
}

/** A member's state and the resources it has used since its start. */
export interface View {
  readonly role: Role;
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  readonly digest: string;
  /** Milliseconds of processor time. */
  readonly processor: number;
  /** Resident memory in bytes. */
  readonly memory: number;
  readonly bytesOut: number;
  readonly logBytes: number;
  /**
   * Time at which the data folder had been opened, in ms since the Unix epoch.
   */
  readonly openedAt: number;
}

/** Options of a member's process, passed as one JSON argument. */
export interface HostOptions {
  readonly self: Member;
  readonly members: readonly Member[];
  readonly folder: string;
  readonly groupCommit: boolean;
  readonly snapshotEntries: number;
  readonly heartbeat: number;
  readonly electionTimeout: number;
}

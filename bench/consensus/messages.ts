import type {Member, Role} from '../../src/consensus/consensus.js';

/** What a bench or test asks of a member's process, over the process channel. */
export type Request =
  | {readonly kind: 'propose'; readonly name: string; readonly text: string}
  /** Proposes `count` changes, `concurrency` of them at a time. */
  | {
      readonly kind: 'load';
      readonly count: number;
      readonly concurrency: number;
      readonly bytes: number;
      /** Names that the changes are spread over. */
      readonly names: number;
    }
  | {readonly kind: 'read'}
  | {readonly kind: 'get'; readonly name: string}
  | {readonly kind: 'view'}
  /** Ends the process in order. */
  | {readonly kind: 'stop'}
  | {
      readonly kind: 'replace';
      readonly leaving: string;
      readonly joining: Member;
    };

/** One answer; `value` is undefined for a failure. */
export interface Reply {
  readonly id: number;
  readonly value?: unknown;
  /** Number of a result code. */
  readonly code?: number;
}

/** What a load gave. */
export interface LoadReport {
  readonly accepted: number;
  /** Milliseconds that the whole load took. */
  readonly duration: number;
  /** Milliseconds from the call to the answer. */
  readonly p50: number;
  readonly p99: number;
}

/** A member's state and what it has spent since its start. */
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
  /** Bytes of memory that are resident. */
  readonly memory: number;
  readonly bytesOut: number;
  readonly logBytes: number;
  /** Milliseconds since the Unix epoch when the folder had been opened. */
  readonly openedAt: number;
}

/** How a member's process is started; one JSON argument. */
export interface HostOptions {
  readonly self: Member;
  readonly members: readonly Member[];
  readonly folder: string;
  readonly groupCommit: boolean;
  readonly snapshotEntries: number;
  readonly heartbeat: number;
  readonly electionTimeout: number;
}

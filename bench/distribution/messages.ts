import type {DistributorCounts} from '../../src/distribution/distributor.js';
import type {HomeAddress} from '../../src/fleet/messages.js';

/** Messages between the bench and its stand-in processes over Node.js IPC. */

/** Setup of a stand-in source or relay; times in milliseconds. */
export interface HomeSetup {
  readonly name: string;
  /** Addresses of sources; empty for a source. */
  readonly sources: readonly HomeAddress[];
  /** Number of services in the configuration of a source. */
  readonly services: number;
  readonly routesPerService: number;
  readonly batchWindow: number;
  readonly isAdmitting: boolean;
  readonly syncBytesPerSecond?: number;
  readonly ringLength?: number;
  /** Simulated duration of a quorum round at a source. */
  readonly round: number;
  readonly seed: number;
}

/** Setup of a process with stand-in nodes. */
export interface NodesSetup {
  readonly name: string;
  readonly homes: readonly HomeAddress[];
  readonly nodes: number;
  /** Number of random services that each node subscribes to; 0 for all. */
  readonly subscribed: number;
  readonly services: number;
  readonly seed: number;
}

/** A change that a source accepted. */
export interface AcceptedChange {
  readonly version: number;
  /** Milliseconds since the epoch, with fractions. */
  readonly at: number;
}

/** The switch of a node to a new version. */
export interface Switch {
  readonly node: number;
  readonly version: number;
  readonly at: number;
}

/** Resources that a process has used since its start. */
export interface Usage {
  /** Milliseconds of processor time. */
  readonly processor: number;
  /** Peak resident memory in bytes. */
  readonly peak: number;
  /** Bytes on all links, including framing. */
  readonly bytesIn: number;
  readonly bytesOut: number;
  readonly counts?: DistributorCounts;
}

/** Commands to a stand-in process. */
export type Command =
  | {readonly kind: 'changes'; readonly count: number; readonly gap: number}
  | {readonly kind: 'usage'}
  | {readonly kind: 'memory'}
  | {readonly kind: 'synced'}
  | {readonly kind: 'switches'}
  | {readonly kind: 'drop'}
  | {readonly kind: 'away'; readonly isAway: boolean};

/**
 * Replies of a stand-in process: `ready` after its start, then one per command.
 */
export type Reply =
  | {readonly kind: 'ready'; readonly address: string}
  | {readonly kind: 'changes'; readonly changes: readonly AcceptedChange[]}
  | {readonly kind: 'usage'; readonly usage: Usage}
  /** Bytes of heap and of buffers outside it, after a garbage collection. */
  | {readonly kind: 'memory'; readonly memory: number}
  | {readonly kind: 'synced'; readonly nodes: number; readonly least: number}
  | {readonly kind: 'switches'; readonly switches: readonly Switch[]}
  | {readonly kind: 'drop'}
  | {readonly kind: 'away'};

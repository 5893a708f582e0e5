import type {DistributorCounts} from '../../src/distribution/distributor.js';
import type {HomeAddress} from '../../src/fleet/messages.js';

/** Messages between the bench and its stand-in processes, over their IPC. */

/** How a stand-in source or relay is set up; times in milliseconds. */
export interface HomeSetup {
  readonly name: string;
  /** Addresses of sources; empty for a source. */
  readonly sources: readonly HomeAddress[];
  /** Services in the configuration; for a source. */
  readonly services: number;
  readonly routesPerService: number;
  readonly batchWindow: number;
  readonly isAdmitting: boolean;
  readonly syncBytesPerSecond?: number;
  readonly ringLength?: number;
  /** What one quorum round takes; for a source. */
  readonly round: number;
  readonly seed: number;
}

/** How a process of stand-in nodes is set up. */
export interface NodesSetup {
  readonly name: string;
  readonly homes: readonly HomeAddress[];
  readonly nodes: number;
  /** Services that each node subscribes to, chosen at random; 0 for all. */
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

/** A node's switch to a version. */
export interface Switch {
  readonly node: number;
  readonly version: number;
  readonly at: number;
}

/** What a process has used since it was started. */
export interface Usage {
  /** Milliseconds of processor time. */
  readonly processor: number;
  /** Most bytes that the process ever had in memory. */
  readonly peak: number;
  /** Bytes over all links, with framing. */
  readonly bytesIn: number;
  readonly bytesOut: number;
  readonly counts?: DistributorCounts;
}

/** What the bench asks of a stand-in process. */
export type Command =
  | {readonly kind: 'changes'; readonly count: number; readonly gap: number}
  | {readonly kind: 'usage'}
  | {readonly kind: 'memory'}
  | {readonly kind: 'synced'}
  | {readonly kind: 'switches'}
  | {readonly kind: 'drop'}
  | {readonly kind: 'away'; readonly isAway: boolean};

/** What a stand-in process answers; one answer for each ask. */
export type Reply =
  | {readonly kind: 'ready'; readonly address: string}
  | {readonly kind: 'changes'; readonly changes: readonly AcceptedChange[]}
  | {readonly kind: 'usage'; readonly usage: Usage}
  /** Bytes of heap and of buffers outside it, after a collection. */
  | {readonly kind: 'memory'; readonly memory: number}
  | {readonly kind: 'synced'; readonly nodes: number; readonly least: number}
  | {readonly kind: 'switches'; readonly switches: readonly Switch[]}
  | {readonly kind: 'drop'}
  | {readonly kind: 'away'};

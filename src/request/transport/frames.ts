/**
 * What entries and gates say to each other on a framed link. One link carries
 * many calls, told apart by a number that the entry gives; a call is ended by
 * exactly one `end`, `refused` or `cut` of the gate, or a `cancel` of the entry.
 */
import type {
  Priority,
  Repeatability,
} from '../../configuration/configuration.js';

/** Name of the protocol in the upgrade that opens a link, with its version. */
export const framedProtocol = 'foxbarrow-link/1';

/**
 * Bytes of one answer that a gate sends ahead of what the caller has taken. A
 * caller that reads slowly holds up its own answer and no other on the link;
 * 64 KiB fill a gigabit for half a millisecond, the round trip between domains.
 */
export const answerWindow = 64 * 1024;

/** A call whose body, if any, is gathered. */
export interface CallFrame {
  readonly type: 'call';
  readonly call: number;
  readonly request: string;
  readonly instance: string;
  readonly service: string;
  readonly policy: string | undefined;
  readonly caller: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly priority: Priority;
  readonly repeatability: Repeatability;
  readonly key: string | undefined;
  /** Milliseconds left of its time. */
  readonly left: number;
  /** Milliseconds in which an answer counts as good. */
  readonly goodFor: number;
}

/** What an entry says. */
export type EntryFrame =
  | CallFrame
  /** The caller has left or its time is over. */
  | {readonly type: 'cancel'; readonly call: number}
  /** The caller has taken so many bytes more of its answer. */
  | {readonly type: 'taken'; readonly call: number; readonly bytes: number}
  | {readonly type: 'ping'};

/** What a gate says. */
export type GateFrame =
  | {
      readonly type: 'head';
      readonly call: number;
      readonly status: number;
      readonly reason: string;
      readonly headers: string[];
      /** The gate's running and waiting work over its slots. */
      readonly load: number;
    }
  | {readonly type: 'data'; readonly call: number; readonly chunk: Buffer}
  | {readonly type: 'end'; readonly call: number}
  | {readonly type: 'cut'; readonly call: number}
  | {
      readonly type: 'refused';
      readonly call: number;
      readonly code: number;
      /** Seconds after which asking again makes sense. */
      readonly retryAfter: number;
      readonly load: number;
    }
  | {readonly type: 'pong'}
  /** The gate's process stops; the entry sends no more calls on this link. */
  | {readonly type: 'leaving'};

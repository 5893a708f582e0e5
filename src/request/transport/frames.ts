/**
 * The frames that entries and gates exchange on a framed link. A link carries
 * many calls, each with a number that the entry assigns. A call ends with
 * exactly one `end`, `refused` or `cut` of the gate, or with a `cancel` of the
 * entry.
 */
import type {
  Priority,
  Repeatability,
} from '../../configuration/configuration.js';
import type {FinishEstimate} from '../messages/finish-estimate.js';
import type {ReportedState} from '../messages/reported-state.js';

/** Name and version of the protocol in the HTTP upgrade that opens a link. */
export const framedProtocol = 'foxbarrow-link/1';

/**
 * Bytes of one answer that a gate sends before the caller has taken them. The
 * window lets a slow caller delay only its own answer and no other on the link.
 * 64 KiB take half a millisecond on a link of 1 Gbit/s, which is the round-trip
 * time between failure domains.
 */
export const answerWindow = 64 * 1024;

/** A call without a body or with a complete one. */
export interface CallFrame {
  readonly type: 'call';
  readonly call: number;
  readonly request: string;
  readonly instance: string;
  readonly service: string;
  readonly policy: string | undefined;
  readonly caller: string | undefined;
  /** The workspace whose key the caller sent; absent if none. */
  readonly workspace?: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly priority: Priority;
  /** Absent for calls that no other request waits for, and in older versions. */
  readonly isNested?: boolean;
  readonly repeatability: Repeatability;
  readonly key: string | undefined;
  /** What the entry has heard of the upstream's reports. */
  readonly reported?: ReportedState | undefined;
  /** Milliseconds until the deadline. */
  readonly left: number;
  /** Milliseconds within which an answer counts as good. */
  readonly goodFor: number;
}

/** A frame from an entry. */
export type EntryFrame =
  | CallFrame
  /** The caller has left or the deadline has passed. */
  | {readonly type: 'cancel'; readonly call: number}
  /** The caller has taken `bytes` more bytes of its answer. */
  | {readonly type: 'taken'; readonly call: number; readonly bytes: number}
  | {readonly type: 'ping'};

/** A frame from a gate. */
export type GateFrame =
  | {
      readonly type: 'head';
      readonly call: number;
      readonly status: number;
      readonly reason: string;
      readonly headers: string[];
      /** Number of running and waiting requests, divided by the slots. */
      readonly load: number;
      /** For calls of the same kind and priority; absent in older versions. */
      readonly estimate?: FinishEstimate;
      /** What the upstream has reported; absent if nothing. */
      readonly reported?: ReportedState;
    }
  | {readonly type: 'data'; readonly call: number; readonly chunk: Buffer}
  | {readonly type: 'end'; readonly call: number}
  | {readonly type: 'cut'; readonly call: number}
  | {
      readonly type: 'refused';
      readonly call: number;
      readonly code: number;
      /** Seconds after which the caller should retry. */
      readonly retryAfter: number;
      readonly load: number;
      readonly estimate?: FinishEstimate;
      readonly reported?: ReportedState;
    }
  | {
      readonly type: 'pong';
      /** Delay of the gate's loop in milliseconds; absent in older versions. */
      readonly loopDelay?: number;
      /** Bytes that waited for the entry; absent in older versions. */
      readonly unsent?: number;
    }
  /**
   * The gate's process stops; the entry must send no more calls on this link.
   */
  | {readonly type: 'leaving'};

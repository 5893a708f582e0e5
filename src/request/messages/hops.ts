/**
 * The interface between `decisions/` and `transport/`. Decisions ask for a hop
 * by `GateLinks` or `UpstreamLink`, and hear what became of it by `Answer` or
 * `UpstreamReceiver`; transport hands what arrives to a `CallHandler`. Neither
 * imports the other, so a decision is tested without a socket.
 */
import type {Announcement} from '../../endpoints/messages.js';
import type {Answer} from './answer.js';
import type {AnswerHead, Call, Cancel, Refusal} from './call.js';

/** A node's gate, as its listeners and the node's own entry see it. */
export interface CallHandler {
  /** The upstream instance that it stands before. */
  readonly instance: string;
  readonly service: string;
  /** Running and waiting work over the slots. */
  readonly load: number;
  /** The load that work of a policy meets: that of what it needs most. */
  loadFor(policy: string | undefined): number;
  /** Takes one call; its answer, or a numbered refusal, goes to `answer`. */
  handle(call: Call, answer: Answer): Cancel;
}

/** The gate that a call is sent to. */
export interface GateTarget {
  readonly announcement: Announcement;
  /** The gate told its load, work over slots. */
  updateLoad(load: number): void;
}

/** The links to the gates of other nodes. */
export interface GateLinks {
  handle(
    call: Call,
    bodyLimit: number,
    target: GateTarget,
    answer: Answer,
  ): Cancel;
}

/** Why an answer is not passed on, and what becomes of its connection. */
export interface AnswerRejection {
  readonly refusal: Refusal;
  /** Kept where the answer is in order, broken where later bytes are in doubt. */
  readonly connection: 'kept' | 'broken';
}

/** A request under way. */
export interface PendingRequest {
  resume(): void;
  /**
   * Asks the other side to end the work and waits for it to close; harmless
   * where `cancel` follows.
   */
  close(reason: Error): void;
  /** Breaks the connection off; the receiver's `failed` follows unless it ended. */
  cancel(reason: Error): void;
}

/** Hears what becomes of a call that was sent to the upstream. */
export interface UpstreamReceiver {
  /** The first byte is about to be written; from here on it may have run. */
  began(): void;
  /** The answer begins. */
  head(head: AnswerHead): void;
  /** An answer begins that must not be passed on. */
  rejected(judgement: AnswerRejection): void;
  /** Takes a part of the answer; false pauses until `Sending.resume`. */
  data(chunk: Buffer): boolean;
  end(): void;
  /** It failed; `began` tells whether a byte may have been written. */
  failed(error: Error, began: boolean): void;
}

/** The connections between a gate and its upstream. */
export interface UpstreamLink {
  /**
   * Sends a call that has `left` milliseconds; undefined when no connection was
   * free.
   */
  send(
    call: Call,
    left: number,
    receiver: UpstreamReceiver,
  ): PendingRequest | undefined;
}

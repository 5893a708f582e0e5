/**
 * The interface between `decisions/` and `transport/`. Decisions send a call
 * through `GateLinks` or `UpstreamLink` and receive the result through `Answer`
 * or `UpstreamReceiver`; transport passes incoming calls to a `CallHandler`.
 * Neither folder imports the other, so decisions are tested without sockets.
 */
import type {Announcement} from '../../endpoints/messages.js';
import {Answer} from './answer.js';
import type {AnswerHead, Call, Cancel, Refusal} from './call.js';
import type {FinishEstimate} from './finish-estimate.js';
import type {Rank} from './rank.js';
import type {ReportedState} from './reported-state.js';
import type {UpstreamSignals} from './upstream-signals.js';

/**
 * A node's gate, as used by its listeners and by the entry of the same node.
 */
export interface CallHandler {
  /** The upstream instance that the gate serves. */
  readonly instance: string;
  readonly service: string;
  /** Running and waiting calls divided by the number of slots. */
  readonly load: number;
  /** Load for calls under a policy: that of the scarcest resource they need. */
  loadFor(policy: string | undefined): number;
  /**
   * When a call under a policy that arrives now is expected to finish;
   * undefined before the first duration is known.
   */
  estimateFor(
    policy: string | undefined,
    rank: Rank,
  ): FinishEstimate | undefined;
  /** What the upstream has reported; undefined if nothing. */
  readonly reported: ReportedState | undefined;
  /**
   * Whether the body of a call is compared with those of other requests before
   * it runs, so that all of it has to be there.
   */
  comparesBody(call: Call): boolean;
  /** Handles one call; `answer` receives its answer or a refusal. */
  handle(call: Call, answer: Answer): Cancel;
}

/** The gate to which a call is sent. */
export interface GateTarget {
  readonly announcement: Announcement;
  /** Stores the load that the gate reported: calls divided by slots. */
  updateLoad(load: number): void;
  /** Stores the gate's estimate for calls like `call`, if it told one. */
  updateEstimate(
    call: Pick<Call, 'policy' | 'priority' | 'isNested'>,
    estimate: FinishEstimate | undefined,
  ): void;
  /** What the upstream has reported, as far as this entry has heard. */
  reported(): ReportedState | undefined;
  /** Stores what the gate told of the upstream's reports. */
  updateReported(state: ReportedState | undefined): void;
}

/** Receives the answer of another node's gate to one call. */
export abstract class GateAnswer extends Answer {
  /**
   * Nothing was received from the gate for some time, so the call may be late or
   * lost; called again as long as that holds.
   */
  abstract silent(): void;
}

/** Links to the gates of other nodes. */
export interface GateLinks {
  handle(
    call: Call,
    bodyLimit: number,
    target: GateTarget,
    answer: GateAnswer,
  ): Cancel;
}

/** Why an upstream's answer is rejected, and what to do with its connection. */
export interface AnswerRejection {
  readonly refusal: Refusal;
  /**
   * Kept if the answer is well formed; broken if later bytes can't be trusted.
   */
  readonly connection: 'kept' | 'broken';
}

/** A request that has been sent and not ended yet. */
export interface PendingRequest {
  /**
   * Continues to read the answer after `UpstreamReceiver.data` returned false.
   */
  resume(): void;
  /**
   * The rest of the answer is not needed; it is read so that the connection can
   * be used again.
   */
  discard(): void;
  /**
   * Asks the peer to end the request and waits for it to close the connection;
   * `cancel` may follow.
   */
  close(reason: Error): void;
  /**
   * Resets the connection; calls the receiver's `failed` unless it has ended.
   */
  cancel(reason: Error): void;
}

/** Receives the result of a call that was sent to the upstream. */
export interface UpstreamReceiver {
  /**
   * The first byte is about to be written; from now on the call may have run.
   */
  began(): void;
  /**
   * The head of an answer reports about the upstream; called before `head` and
   * `rejected`, also for an answer that nobody waits for any more.
   */
  signals(signals: UpstreamSignals): void;
  /** The status and headers of the answer arrived. */
  head(head: AnswerHead): void;
  /** The head of an answer arrived that must not be passed on. */
  rejected(rejection: AnswerRejection): void;
  /** Takes a chunk of the body; false pauses until `PendingRequest.resume`. */
  data(chunk: Buffer): boolean;
  end(): void;
  /** The call failed; `began` is whether a byte may have been written. */
  failed(error: Error, began: boolean): void;
}

/** Connections from a gate to its upstream. */
export interface UpstreamLink {
  /**
   * Sends a call that has to end within `timeout` milliseconds; undefined if no
   * connection is free.
   */
  send(
    call: Call,
    timeout: number,
    receiver: UpstreamReceiver,
  ): PendingRequest | undefined;
}

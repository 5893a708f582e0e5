/**
 * Idempotency claims guarantee that work with one key runs at most once. A gate
 * acquires the claim after it has admitted the request and before it sends the
 * first byte to its upstream.
 */
import type {Code} from '../result/code.js';

/** A request with an idempotency key. */
export interface ClaimRequest {
  readonly service: string;
  /** The caller's idempotency key. */
  readonly key: string;
  /**
   * Digest of method, path and body. A request with the same key and another
   * fingerprint is refused.
   */
  readonly fingerprint: string;
  /** Time at which the caller stops waiting, on the clock of `Timers`. */
  readonly deadline: number;
}

/** One header of a stored answer. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** The complete answer of a run, stored for resends. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** The right to run one piece of work. Exactly one of its methods is called. */
export interface Claim {
  /** No byte reached the upstream; the key can be claimed again. */
  release(): void;
  /** The run ended. Resends get this answer if it is within the size limit. */
  complete(answer: StoredAnswer): void;
  /**
   * The run may have begun; resends are answered that its outcome is unknown.
   */
  abandon(): void;
}

/** The result of acquiring a claim. */
export type Acquisition =
  | {readonly kind: 'granted'; readonly claim: Claim}
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  | {
      readonly kind: 'refused';
      /**
       * Its effect describes this request only, not earlier ones with the key.
       */
      readonly code: Code;
      readonly message: string;
      /** Seconds after which a resend makes sense. */
      readonly retryAfter: number;
    };

/** Acquires claims. */
export abstract class Claims {
  /**
   * Acquires the claim, or waits until the deadline for the answer of a run in
   * flight. The promise never rejects.
   */
  abstract acquire(request: ClaimRequest): Promise<Acquisition>;
}

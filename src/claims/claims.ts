/**
 * Idempotency claims: the promise that work with one key runs at most once.
 * A gate acquires the claim after it admitted the request and before it sends
 * the first byte to its upstream.
 */
import type {Code} from '../result/code.js';

/** One keyed request, as a gate presents it. */
export interface ClaimRequest {
  readonly service: string;
  /** The caller's idempotency key. */
  readonly key: string;
  /** Digest of method, path and body; another one under the key is refused. */
  readonly fingerprint: string;
  /** When the caller stops waiting, on the clock of the timer service. */
  readonly deadline: number;
}

/** One header of a stored answer. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** The whole answer of a run, kept for resends. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** The right to run one piece of work; exactly one of its methods is called. */
export interface Claim {
  /** No byte reached the upstream: the key is free again. */
  release(): void;
  /** The run ended; resends get this answer (if it is within the bound). */
  complete(answer: StoredAnswer): void;
  /** The run may have begun and its outcome is not known; resends are told so. */
  abandon(): void;
}

/** What became of an attempt to acquire a claim. */
export type Acquisition =
  | {readonly kind: 'granted'; readonly claim: Claim}
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  | {
      readonly kind: 'refused';
      /** Its effect speaks of this request; earlier ones keep their own word. */
      readonly code: Code;
      readonly message: string;
      /** Seconds after which a resend makes sense. */
      readonly retryAfter: number;
    };

/** Where claims are acquired. */
export abstract class Claims {
  /**
   * Acquires the claim, or waits within the deadline for the answer of the run
   * in flight. Never rejects.
   */
  abstract acquire(request: ClaimRequest): Promise<Acquisition>;
}

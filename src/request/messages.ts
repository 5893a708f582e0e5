import type {Priority, Repeatability} from '../configuration/configuration.js';
import type {Code} from '../result/code.js';
import type {Upload} from './upload.js';

/** One request on its way from a caller to an upstream. */
export interface Call {
  readonly id: string;
  readonly service: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** End-to-end headers, names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Upload;
  readonly priority: Priority;
  readonly repeatability: Repeatability;
  /** The caller's idempotency key, where it sent one. */
  readonly key: string | undefined;
  /** When its time is up, by the timer service. */
  readonly deadline: number;
}

/** The beginning of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly reason: string;
  /** End-to-end headers, names and values by turns. */
  readonly headers: string[];
}

/** A final, numbered answer in place of the upstream's. */
export interface Refusal {
  readonly code: Code;
  readonly message: string;
  /** Seconds after which asking again makes sense. */
  readonly retryAfter: number;
}

/** What became of one request at an entry; read by metrics and the burn report. */
export interface Outcome {
  readonly service: string;
  readonly route: string;
  readonly policy: string;
  /** HTTP status sent, or 499 when the caller left. */
  readonly status: number;
  /** Result code of a refusal; undefined for an upstream's own answer. */
  readonly code: Code | undefined;
  /** Milliseconds from the request's head to the answer's end. */
  readonly duration: number;
  readonly attempts: number;
  /** Whether the answer reached the caller whole. */
  readonly whole: boolean;
}

/** Cancels work whose caller has left; harmless when it has ended. */
export type Cancel = () => void;

import type {AnswerHead, Refusal} from './call.js';

/**
 * Bytes from which an answer is large: it weighs on links between failure
 * domains, and small answers must not wait behind it.
 */
export const largeAnswerThreshold = 16 * 1024;

/**
 * Bytes that an answer sends in its turn before others have theirs. Answers up
 * to there go one after the other, so that each is whole as early as it can be;
 * a film or a feed that never ends must not keep them waiting.
 */
export const answerQuantum = 256 * 1024;

/**
 * Where the answer to one request goes. Exactly one of `end`, `refuse` and
 * `cut` ends it; calls after that are ignored.
 */
export abstract class Answer {
  /** The request has been handed to the upstream's connection. */
  abstract admit(): void;

  /** The upstream's answer begins. */
  abstract start(head: AnswerHead): void;

  /** Passes on a part; false asks the sender to wait for `onDrain`. */
  abstract write(chunk: Buffer): boolean;

  /** Calls `resume` once after `write` returned false and room is back. */
  abstract onDrain(resume: () => void): void;

  /** The answer is whole. */
  abstract end(): void;

  /** A refusal stands in the answer's place; nothing had started. */
  abstract refuse(refusal: Refusal): void;

  /** The answer broke off after its start; the receiver must see an error. */
  abstract cut(): void;
}

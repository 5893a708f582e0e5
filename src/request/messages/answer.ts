import type {AnswerHead, Refusal} from './call.js';

/**
 * Size in bytes from which an answer counts as large. A large answer loads the
 * links between failure domains, and small answers must not queue behind it.
 */
export const largeAnswerThreshold = 16 * 1024;

/**
 * Bytes that one answer may send before the next one is served (the quantum of
 * the round robin). Answers up to this size are sent one after another, so that
 * each is complete as early as possible; a video or an endless stream must not
 * block them.
 */
export const answerQuantum = 256 * 1024;

/**
 * Receives the answer to one request. Exactly one of `end`, `refuse` and `cut`
 * ends it; later calls are ignored.
 */
export abstract class Answer {
  /** The request has been passed to a connection of the upstream. */
  abstract admit(): void;

  /** Starts the answer with the upstream's status and headers. */
  abstract start(head: AnswerHead): void;

  /**
   * Writes a chunk of the body; false asks the sender to wait for `onDrain`.
   */
  abstract write(chunk: Buffer): boolean;

  /**
   * Calls `resume` once when there is room again after `write` returned false.
   */
  abstract onDrain(resume: () => void): void;

  /** Ends a complete answer. */
  abstract end(): void;

  /** Answers with a refusal; allowed only before `start`. */
  abstract refuse(refusal: Refusal): void;

  /** Aborts an answer that has started; the receiver must see an error. */
  abstract cut(): void;
}

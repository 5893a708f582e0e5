import type {Answer} from '../messages/answer.js';
import {GateAnswer} from '../messages/hops.js';
import {requestCodes} from '../messages/codes.js';
import type {Refusal} from '../messages/call.js';
import type {PooledInstance} from './instance-pool.js';
import type {Code} from '../../result/code.js';

/** The answer to one attempt; reports the result to the instance pool once. */
export abstract class AttemptAnswer extends GateAnswer {
  /** The caller has disconnected; the rest of the answer is ignored. */
  abstract abandon(): void;

  /** The attempt is given up, as its gate may be lost. */
  abstract giveUp(): void;
}

/** What an attempt reports to the request that it belongs to. */
export interface AttemptObserver {
  /** The attempt was refused. */
  refused(reason: Refusal): void;
  /** See `GateAnswer.silent`; not called once the answer has begun. */
  silent(): void;
  /** The answer is complete; `bytes` is the size of its body. */
  answered(bytes: number): void;
}

/**
 * Forwards the answer of an attempt, but passes a refusal to `observer`. An
 * expired deadline does not count against the instance if the caller set a
 * short one (`hasShortTimeout`): otherwise one caller could have every instance
 * ejected with timeouts of a millisecond.
 */
export function createAttemptAnswer(
  answer: Answer,
  target: PooledInstance,
  observer: AttemptObserver,
  hasShortTimeout: boolean,
): AttemptAnswer {
  let status = 0;
  let isReported = false;
  let bytes = 0;

  function report(code: Code | undefined): boolean {
    if (isReported) return false;
    isReported = true;
    const isExcused = hasShortTimeout && code === requestCodes.deadlinePassed;
    target.ended(isExcused ? requestCodes.callerLeft : code, status);
    return true;
  }

  return {
    admit: () => answer.admit(),
    start: head => {
      status = head.status;
      answer.start(head);
    },
    write: chunk => {
      bytes += chunk.length;
      return answer.write(chunk);
    },
    onDrain: resume => answer.onDrain(resume),
    end: () => {
      if (!report(undefined)) return;
      observer.answered(bytes);
      answer.end();
    },
    refuse: reason => {
      if (report(reason.code)) observer.refused(reason);
    },
    cut: () => {
      if (report(requestCodes.upstreamLost)) answer.cut();
    },
    silent: () => {
      if (!isReported && status === 0) observer.silent();
    },
    abandon: () => void report(requestCodes.callerLeft),
    giveUp: () => void report(requestCodes.gateLost),
  };
}

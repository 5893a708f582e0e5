import {Answer} from '../messages/answer.js';
import {requestCodes} from '../messages/codes.js';
import type {Refusal} from '../messages/call.js';
import type {PooledInstance} from './instance-pool.js';
import type {Code} from '../../result/code.js';

/** The answer to one attempt; reports the result to the instance pool once. */
export abstract class AttemptAnswer extends Answer {
  /** The caller has disconnected; the rest of the answer is ignored. */
  abstract abandon(): void;
}

/**
 * Forwards the answer of an attempt, but passes a refusal to `onRefused`. An
 * expired deadline does not count against the instance if the caller set a
 * short one (`hasShortTimeout`): otherwise one caller could have every instance
 * ejected with timeouts of a millisecond. `onSize` receives the bytes of a
 * complete answer.
 */
export function createAttemptAnswer(
  answer: Answer,
  target: PooledInstance,
  onRefused: (reason: Refusal) => void,
  hasShortTimeout: boolean,
  onSize: (bytes: number) => void = () => {},
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
      onSize(bytes);
      answer.end();
    },
    refuse: reason => {
      if (report(reason.code)) onRefused(reason);
    },
    cut: () => {
      if (report(requestCodes.upstreamLost)) answer.cut();
    },
    abandon: () => void report(requestCodes.callerLeft),
  };
}

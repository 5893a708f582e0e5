import {Answer} from '../messages/answer.js';
import {requestCodes} from '../messages/codes.js';
import type {Refusal} from '../messages/call.js';
import type {PooledInstance} from './instance-pool.js';
import type {Code} from '../../result/code.js';

/** The answer to one attempt; tells its peer once how the attempt went. */
export abstract class AttemptAnswer extends Answer {
  /** The caller has left; what still comes is of no interest. */
  abstract abandon(): void;
}

/**
 * Passes an answer on; a refusal goes to `refused` instead. A deadline that a
 * caller in a hurry set is not held against the peer: one caller could have
 * every instance ejected by asking for a millisecond. `sized` hears of the bytes
 * of a whole answer.
 */
export function createAttemptAnswer(
  answer: Answer,
  peer: PooledInstance,
  refused: (reason: Refusal) => void,
  isHurried: boolean,
  sized: (bytes: number) => void = () => {},
): AttemptAnswer {
  let status = 0;
  let settled = false;
  let bytes = 0;

  function settle(code: Code | undefined): boolean {
    if (settled) return false;
    settled = true;
    const excused = isHurried && code === requestCodes.deadlinePassed;
    peer.ended(excused ? requestCodes.callerLeft : code, status);
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
      if (!settle(undefined)) return;
      sized(bytes);
      answer.end();
    },
    refuse: reason => {
      if (settle(reason.code)) refused(reason);
    },
    cut: () => {
      if (settle(requestCodes.upstreamLost)) answer.cut();
    },
    abandon: () => void settle(requestCodes.callerLeft),
  };
}

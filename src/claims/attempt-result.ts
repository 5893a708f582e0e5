/** How an attempt to acquire a claim ends. */
import type {Code} from '../result/code.js';
import type {Acquisition, Claim, StoredAnswer} from './claims.js';
import {claimCodes} from './codes.js';
import type {Settlement, Vote} from './messages.js';

/** Either the end of an acquisition, or a reason for another attempt. */
export type AttemptResult =
  | {readonly kind: 'end'; readonly acquisition: Acquisition}
  /**
   * Retry under a new claim id after `pause` milliseconds; the last was
   * released.
   */
  | {readonly kind: 'again'; readonly pause: number}
  /** Retry under the same claim id; the keeper set is changing. */
  | {readonly kind: 'stale'};

/** Seconds after which a resend makes sense when the outcome is unknown. */
const unknownRetryAfter = 60;

/** Ends the acquisition with a refusal. */
export function refuse(code: Code, retryAfter = 1): AttemptResult {
  const {meaning: message} = code;
  const acquisition = {kind: 'refused', code, message, retryAfter} as const;
  return {kind: 'end', acquisition};
}

/** Ends the acquisition because the outcome of an earlier run is unknown. */
export function refuseUnknown(
  code: Code = claimCodes.outcomeUnknown,
): AttemptResult {
  return refuse(code, unknownRetryAfter);
}

/** Ends the acquisition with the result of another request with the key. */
export function endByVote(vote: Vote): AttemptResult {
  if (vote.kind === 'key-reused') return refuse(claimCodes.keyReused, 0);
  if (vote.kind !== 'answered') return refuseUnknown();
  const {answer} = vote;
  if (answer === undefined) return refuseUnknown(claimCodes.answerNotKept);
  return {kind: 'end', acquisition: {kind: 'answered', answer}};
}

/** Ends the acquisition with the right to run; `settle` is called once. */
export function grant(
  settle: (settlement: Settlement) => void,
  answerLimit: number,
): AttemptResult {
  let isSettled = false;
  const settleOnce = (settlement: Settlement) => {
    if (!isSettled) settle(settlement);
    isSettled = true;
  };
  const claim: Claim = {
    release: () => settleOnce({kind: 'released'}),
    abandon: () => settleOnce({kind: 'abandoned'}),
    complete: (answer: StoredAnswer) => {
      const isKept = answer.body.length <= answerLimit;
      settleOnce(isKept ? {kind: 'answered', answer} : {kind: 'answered'});
    },
  };
  return {kind: 'end', acquisition: {kind: 'granted', claim}};
}

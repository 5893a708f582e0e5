/** Where an attempt to acquire a claim ends. */
import type {Code} from '../result/code.js';
import type {Acquisition, Claim, StoredAnswer} from './claims.js';
import {claimCodes} from './codes.js';
import type {Settlement, Vote} from './messages.js';

/** Either the end of an acquisition, or another attempt after a pause. */
export type AttemptResult =
  | {readonly kind: 'end'; readonly acquisition: Acquisition}
  /** Under another name after a pause in milliseconds: the last was released. */
  | {readonly kind: 'again'; readonly pause: number}
  /** Under the same name: keepers change over. */
  | {readonly kind: 'stale'};

/** Seconds after which a resend makes sense when the outcome is not known. */
const unknownRetryAfter = 60;

/** An acquisition that ends with a refusal. */
export function refuse(code: Code, retryAfter = 1): AttemptResult {
  const {meaning: message} = code;
  const acquisition = {kind: 'refused', code, message, retryAfter} as const;
  return {kind: 'end', acquisition};
}

/** An acquisition whose outcome nobody knows. */
export function refuseUnknown(code: Code = claimCodes.outcomeUnknown): AttemptResult {
  return refuse(code, unknownRetryAfter);
}

/** An acquisition that another request with the key decides. */
export function endByVote(vote: Vote): AttemptResult {
  if (vote.kind === 'key-reused') return refuse(claimCodes.keyReused, 0);
  if (vote.kind !== 'answered') return refuseUnknown();
  const {answer} = vote;
  if (answer === undefined) return refuseUnknown(claimCodes.answerNotKept);
  return {kind: 'end', acquisition: {kind: 'answered', answer}};
}

/** An acquisition that gives the right to run; `settle` is called once. */
export function grant(
  settle: (settlement: Settlement) => void,
  answerLimit: number,
): AttemptResult {
  let isSettled = false;
  const once = (settlement: Settlement) => {
    if (!isSettled) settle(settlement);
    isSettled = true;
  };
  const claim: Claim = {
    release: () => once({kind: 'released'}),
    abandon: () => once({kind: 'abandoned'}),
    complete: (answer: StoredAnswer) => {
      const isKept = answer.body.length <= answerLimit;
      once(isKept ? {kind: 'answered', answer} : {kind: 'answered'});
    },
  };
  return {kind: 'end', acquisition: {kind: 'granted', claim}};
}

import {defineCode} from '../result/code.js';

/** Results of idempotency claims: 6000 to 6999. */
export const claimCodes = {
  keyReused: defineCode(
    6001,
    'key-reused',
    'not-run',
    422,
    'The idempotency key was used before with a different request. Use a new key for each piece of work.',
  ),
  inFlight: defineCode(
    6002,
    'run-in-flight',
    'unknown',
    409,
    'An earlier request with this key was still running at the deadline. Send it again with the same key.',
  ),
  outcomeUnknown: defineCode(
    6003,
    'run-outcome-unknown',
    'unknown',
    409,
    'An earlier request with this key began and its outcome is not known. Check whether the work was done before you use a new key.',
  ),
  answerNotKept: defineCode(
    6004,
    'answer-not-kept',
    'unknown',
    409,
    'An earlier request with this key was completed, but its answer was too large to store. Check the result of the work directly.',
  ),
  keepersUnavailable: defineCode(
    6005,
    'keepers-unavailable',
    'not-run',
    503,
    'Too few keepers of the service answered in time. This request was not run, but an earlier one with the same key may have been. Send it again with the same key.',
  ),
  keepersLost: defineCode(
    6006,
    'keepers-lost',
    'not-run',
    503,
    'Most keepers of the service lost their claims. Requests with a key are refused until the retention time has passed or an operator accepts the loss. This request was not run, but an earlier one with the same key may have been.',
  ),
  keepersFull: defineCode(
    6007,
    'keepers-full',
    'not-run',
    503,
    'The keepers hold the maximum number of claims. Send the request again later with the same key.',
  ),
} as const;

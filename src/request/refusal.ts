import {Failure} from '../result/failure.js';
import type {Code} from '../result/code.js';
import {requestCodes} from './codes.js';
import type {Refusal} from './messages.js';

/** Seconds after which a refused caller may ask again, unless said otherwise. */
const defaultRetryAfter = 1;

/** Makes a refusal; `message` tells what happened, the code what to do. */
export function refusal(
  code: Code,
  message: string = code.meaning,
  retryAfter: number = defaultRetryAfter,
): Refusal {
  return {code, message, retryAfter};
}

/** The refusal that an error stands for; an unforeseen one leaves doubt. */
export function refusalOf(error: unknown): Refusal {
  if (error instanceof Failure) return refusal(error.code, error.message);
  return refusal(requestCodes.internal, (error as Error).message);
}

/** What calls to gates have in common, whatever carries them. */
import type {Code} from '../../result/code.js';
import {Failure} from '../../result/failure.js';
import {commonCodes} from '../../result/codes.js';
import {claimCodes} from '../../claims/codes.js';
import type {Clock} from '../../time/clock.js';
import {requestCodes} from '../messages/codes.js';
import type {Call, Refusal} from '../messages/call.js';
import {refusal} from '../messages/refusal.js';

/**
 * Milliseconds beyond the deadline for which an entry waits: the gate decides
 * at the deadline and knows better than the entry whether the work was run.
 */
export const decisionMargin = 50;

/** Whole milliseconds left of a call's time, and of the time it is good for. */
export function timeLeft(call: Call, clock: Clock) {
  const now = clock.now();
  const until = (end: number) => Math.max(0, Math.floor(end - now));
  return {
    left: until(call.deadline),
    goodFor: until(call.goodUntil ?? call.deadline),
  };
}

/** A number from a newer program than this one says nothing about the work. */
export function codeOf(number: number): Code {
  return codes.get(number) ?? requestCodes.gateLost;
}

/** The codes that gates refuse with. */
const codes: ReadonlyMap<number, Code> = new Map(
  [commonCodes, claimCodes, requestCodes]
    .flatMap<Code>(Object.values)
    .map(code => [code.number, code]),
);

/** Why a call has failed; `began` tells whether the gate may have read it. */
export function refusalForFailure(error: Error, began: boolean): Refusal {
  if (!began) return refusal(requestCodes.gateUnreachable, error.message);
  if (error instanceof Failure && error.code.effect === 'unknown') {
    return refusal(error.code, error.message);
  }
  return refusal(requestCodes.gateLost, error.message);
}

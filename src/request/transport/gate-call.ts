/** Helpers for calls to gates, both over HTTP and over framed links. */
import type {Code} from '../../result/code.js';
import {Failure} from '../../result/failure.js';
import {commonCodes} from '../../result/codes.js';
import {claimCodes} from '../../claims/codes.js';
import type {Clock} from '../../time/clock.js';
import {requestCodes} from '../messages/codes.js';
import type {Call, Refusal} from '../messages/call.js';
import {createRefusal} from '../messages/refusal.js';

/**
 * Milliseconds for which an entry waits beyond the deadline. The gate answers
 * at the deadline, and can often exclude that the request was run, which the
 * entry can't.
 */
export const decisionMargin = 50;

/**
 * Whole milliseconds until a call's deadline, and until an answer no longer
 * counts as good.
 */
export function timeLeft(call: Call, clock: Clock) {
  const now = clock.now();
  const until = (end: number) => Math.max(0, Math.floor(end - now));
  return {
    left: until(call.deadline),
    goodFor: until(call.goodUntil ?? call.deadline),
  };
}

/**
 * The result code with a number. A number that only a newer version defines
 * says nothing about the request's effect, so it counts as a lost gate.
 */
export function codeOf(number: number): Code {
  return codes.get(number) ?? requestCodes.gateLost;
}

/**
 * Whether what comes with a refusal is about the instance that was addressed.
 * Addresses are reused, so another gate may have refused the call.
 */
export function isOwnReport({code}: Refusal): boolean {
  return code !== requestCodes.wrongInstance;
}

/** The result codes of refusals by gates, by number. */
const codes: ReadonlyMap<number, Code> = new Map(
  [commonCodes, claimCodes, requestCodes]
    .flatMap<Code>(Object.values)
    .map(code => [code.number, code]),
);

/**
 * The refusal for a call that failed; `began` is whether the gate may have
 * received a part of it.
 */
export function refusalForFailure(error: Error, began: boolean): Refusal {
  if (!began) return createRefusal(requestCodes.gateUnreachable, error.message);
  if (error instanceof Failure && error.code.effect === 'unknown') {
    return createRefusal(error.code, error.message);
  }
  return createRefusal(requestCodes.gateLost, error.message);
}

/** How a refusal is told over HTTP. */
import type {Refusal} from '../messages/call.js';
import {headerNames} from './headers.js';

/** A refusal as it goes to the caller. */
export interface RefusalAnswer {
  readonly status: number;
  /** Names and values by turns, without the body's length. */
  readonly headers: string[];
  readonly body: string;
}

/** The JSON body of a refusal. */
export interface RefusalBody {
  readonly code: number;
  readonly name: string;
  readonly effect: string;
  readonly message: string;
}

/** What a refusal tells in its body. */
export function refusalBodyOf(refusal: Refusal): RefusalBody {
  const {number, name, effect, meaning} = refusal.code;
  const message =
    refusal.message === meaning ? meaning : `${refusal.message}. ${meaning}`;
  return {code: number, name, effect, message};
}

/** A refusal in the product's own form. */
export function formatRefusal(refusal: Refusal): RefusalAnswer {
  return {
    status: refusal.code.status,
    headers: refusalHeaders(refusal),
    body: JSON.stringify(refusalBodyOf(refusal)),
  };
}

const millisecondsPerSecond = 1000;

/** Headers of a refusal, names and values by turns. */
function refusalHeaders(refusal: Refusal): string[] {
  return [
    'content-type',
    'application/json',
    headerNames.code,
    String(refusal.code.number),
    headerNames.effect,
    refusal.code.effect,
    headerNames.retryAfter,
    String(Math.max(1, Math.ceil(refusal.retryAfter))),
    headerNames.wait,
    String(Math.round(refusal.retryAfter * millisecondsPerSecond)),
  ];
}

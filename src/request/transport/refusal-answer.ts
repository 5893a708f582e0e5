/** The format of refusals over HTTP. */
import type {Refusal} from '../messages/call.js';
import {headerNames} from './headers.js';

/** A refusal as it is sent to the caller. */
export interface RefusalAnswer {
  readonly status: number;
  /** Alternating names and values, without `content-length`. */
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

/** The body of a refusal. */
export function refusalBodyOf(refusal: Refusal): RefusalBody {
  const {number, name, effect, meaning} = refusal.code;
  const message =
    refusal.message === meaning ? meaning : `${refusal.message}. ${meaning}`;
  return {code: number, name, effect, message};
}

const unauthorized = 401;

/**
 * The header that a refusal for a missing or unknown key must have (RFC 9110,
 * 11.6.1), as name and value; none for other refusals.
 */
export function challengeFor({code}: Refusal, scheme: string): string[] {
  if (code.status !== unauthorized) return [];
  return ['www-authenticate', `${scheme} realm="foxbarrow"`];
}

/** Formats a refusal in foxbarrow's own format. */
export function formatRefusal(refusal: Refusal): RefusalAnswer {
  return {
    status: refusal.code.status,
    headers: refusalHeaders(refusal),
    body: JSON.stringify(refusalBodyOf(refusal)),
  };
}

const millisecondsPerSecond = 1000;

/** Headers of a refusal, as alternating names and values. */
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

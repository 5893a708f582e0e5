import {TRPCClientError} from '@trpc/client';
import type {Address} from '../link/link.js';
import type {Effect} from '../result/code.js';
import {commonCodes} from '../result/codes.js';
import type {Refusal, Reply} from './messages.js';
import {createRefusal} from './refusal.js';

/** How the client handles refusals and calls without an answer. */

/**
 * Names of refusals after which another process or a later attempt may succeed.
 */
const retryable: readonly string[] = [
  'not-leader',
  'no-quorum',
  'outcome-unknown',
  'consensus-overloaded',
  'consensus-stopped',
  // The joining process may not have started yet.
  'member-unreachable',
  'sync-failed',
  'disk-full',
  'internal',
];

/** Errors of connections that were never established, so nothing was sent. */
const connectErrors: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Whether the call may succeed at another process or later. */
export function isTransient({code, name}: Refusal): boolean {
  return code === commonCodes.unreachable.number || retryable.includes(name);
}

/**
 * Returns the reply for a call that was finally refused. If an earlier attempt
 * may have run, the refusal must not state that nothing was run.
 */
export function toFinalRefusal(last: Refusal, effect: Effect): Reply<never> {
  if (effect !== 'unknown') return {ok: false, refusal: last};
  const message = `an earlier attempt may have run; then: ${last.message}`;
  return {ok: false, refusal: {...last, message, effect}};
}

/** Returns the reply for a call that was not answered within its timeout. */
export function toTimeoutRefusal(last: Refusal, effect: Effect): Reply<never> {
  const {unreachable} = commonCodes;
  if (effect !== 'unknown') return {ok: false, refusal: {...last, effect}};
  const message = `no answer came in time: ${last.message}`;
  return {ok: false, refusal: {...createRefusal(unreachable, message), effect}};
}

/** Converts the error of a failed call to a refusal. */
export function toRefusal(address: Address, error: Error): Refusal {
  if (error instanceof TRPCClientError) {
    const refusal = (error.data as {refusal?: Refusal} | undefined)?.refusal;
    if (refusal !== undefined) return refusal;
  }
  const code = findSystemCode(error);
  const message = `${address} did not answer${code ? `: ${code}` : ''}`;
  const effect = connectErrors.includes(code ?? '') ? 'not-run' : 'unknown';
  return {...createRefusal(commonCodes.unreachable, message), effect};
}

function findSystemCode(error: Error): string | undefined {
  const {code} = error as {code?: unknown};
  if (typeof code === 'string') return code;
  return error.cause instanceof Error ? findSystemCode(error.cause) : undefined;
}

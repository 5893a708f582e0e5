import {TRPCClientError} from '@trpc/client';
import type {Address} from '../link/link.js';
import type {Effect} from '../result/code.js';
import {commonCodes} from '../result/codes.js';
import type {Refusal, Reply} from './messages.js';
import {createRefusal} from './refusal.js';

/** What the client makes of refusals and of calls without an answer. */

/** Refusals after which another process, or a later moment, may do. */
const passing: readonly string[] = [
  'not-leader',
  'no-quorum',
  'outcome-unknown',
  'consensus-overloaded',
  'consensus-stopped',
  // The joining process may still be starting.
  'member-unreachable',
  'sync-failed',
  'disk-full',
  'internal',
];

/** Errors of a connection that was never made, so that nothing was sent. */
const neverSent: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Whether another process, or a later moment, may do. */
export function isTransient({code, name}: Refusal): boolean {
  return code === commonCodes.unreachable.number || passing.includes(name);
}

/**
 * The last process refused. An earlier sending may have run all the same, and
 * then the refusal must not say that nothing did.
 */
export function toFinalRefusal(last: Refusal, effect: Effect): Reply<never> {
  if (effect !== 'unknown') return {ok: false, refusal: last};
  const message = `an earlier sending may have run; then: ${last.message}`;
  return {ok: false, refusal: {...last, message, effect}};
}

/** What a caller is told when time is up. */
export function toTimeoutRefusal(last: Refusal, effect: Effect): Reply<never> {
  const {unreachable} = commonCodes;
  if (effect !== 'unknown') return {ok: false, refusal: {...last, effect}};
  const message = `no answer came in time: ${last.message}`;
  return {ok: false, refusal: {...createRefusal(unreachable, message), effect}};
}

/** What a call that threw stands for. */
export function toRefusal(address: Address, error: Error): Refusal {
  if (error instanceof TRPCClientError) {
    const refusal = (error.data as {refusal?: Refusal} | undefined)?.refusal;
    if (refusal !== undefined) return refusal;
  }
  const code = findSystemCode(error);
  const message = `${address} did not answer${code ? `: ${code}` : ''}`;
  const effect = neverSent.includes(code ?? '') ? 'not-run' : 'unknown';
  return {...createRefusal(commonCodes.unreachable, message), effect};
}

function findSystemCode(error: Error): string | undefined {
  const {code} = error as {code?: unknown};
  if (typeof code === 'string') return code;
  return error.cause instanceof Error ? findSystemCode(error.cause) : undefined;
}

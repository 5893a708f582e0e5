import {randomBytes} from 'node:crypto';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Timers} from '../time/timers.js';
import {distributionCodes} from './codes.js';

const nonceBytes = 12;

/**
 * Returns a nonce. It is random, so that no answer that was meant for an
 * earlier incarnation matches it.
 */
export function makeNonce(): string {
  return randomBytes(nonceBytes).toString('base64url');
}

/** Requests for proofs that wait for their answers. */
export interface ProofRequests {
  /** Sends a nonce; resolves with the proved version. */
  request(send: (nonce: string) => void): Promise<Result<number>>;
  /**
   * Handles the answer to a nonce; `version` is undefined if no quorum
   * confirmed the state.
   */
  answer(nonce: string, version: number | undefined): void;
  /** Fails all waiting requests. */
  failAll(problem: string): void;
}

/** Creates a set of requests that each wait at most `timeout` milliseconds. */
export function createProofRequests(
  timers: Timers,
  timeout: number,
): ProofRequests {
  const waiting = new Map<string, (result: Result<number>) => void>();

  function settle(nonce: string, result: Result<number>): void {
    const resolveRequest = waiting.get(nonce);
    waiting.delete(nonce);
    resolveRequest?.(result);
  }

  const noProof = (problem: string) =>
    failure(distributionCodes.noProof, problem);

  return {
    request(send) {
      const nonce = makeNonce();
      return new Promise(resolve => {
        const timer = timers.after(timeout, () =>
          settle(nonce, noProof('the home did not answer in time')),
        );
        waiting.set(nonce, result => {
          timer.cancel();
          resolve(result);
        });
        send(nonce);
      });
    },
    answer(nonce, version) {
      const isProved = version !== undefined;
      const result = isProved
        ? success(version)
        : noProof('no quorum confirmed the state of the home');
      settle(nonce, result);
    },
    failAll(problem) {
      for (const nonce of [...waiting.keys()]) settle(nonce, noProof(problem));
    },
  };
}

import {randomBytes} from 'node:crypto';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Timers} from '../time/timers.js';
import {distributionCodes} from './codes.js';

const nonceBytes = 12;

/** Makes a nonce: random, so that no answer made for another life matches it. */
export function makeNonce(): string {
  return randomBytes(nonceBytes).toString('base64url');
}

/** Requests for a proof that wait for their answer. */
export interface ProofRequests {
  /** Sends one nonce; resolves with the proved version. */
  request(send: (nonce: string) => void): Promise<Result<number>>;
  /** Takes the answer to a nonce; undefined when no quorum answered. */
  answer(nonce: string, version: number | undefined): void;
  /** Fails all that wait. */
  failAll(problem: string): void;
}

/** Creates requests that wait `timeout` milliseconds at most. */
export function createProofRequests(
  timers: Timers,
  timeout: number,
): ProofRequests {
  const waiting = new Map<string, (result: Result<number>) => void>();

  function settle(nonce: string, result: Result<number>): void {
    const done = waiting.get(nonce);
    waiting.delete(nonce);
    done?.(result);
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
        : noProof('no quorum answered the home');
      settle(nonce, result);
    },
    failAll(problem) {
      for (const nonce of [...waiting.keys()]) settle(nonce, noProof(problem));
    },
  };
}

/**
 * Which policies' answers are large, learnt from the answers that came. Links
 * between failure domains are dear, and a request weighs no more than its
 * answer: of a service whose lookups answer with 0.4 KB and whose archives with
 * 90 KB, the archives were more than nine tenths of the bytes between domains.
 */
import {largeAnswerThreshold} from '../messages/answer.js';
import type {CallSize} from './instance-pool.js';

/** Weight of the newest answer in the mean. */
const newest = 0.1;

/** Policies whose answers are kept in mind; a service has a handful. */
const policyLimit = 256;

/** The sizes of answers by policy. */
export interface AnswerSizes {
  /** An answer under a policy had so many bytes. */
  add(policy: string, bytes: number): void;
  /** The mean of late; 0 before the first. */
  mean(policy: string): number;
  isLarge(policy: string): boolean;
  sizeOf(policy: string): CallSize;
}

/** Creates sizes that know nothing yet; unknown answers are not large. */
export function createAnswerSizes(): AnswerSizes {
  const means = new Map<string, number>();
  const mean = (policy: string) => means.get(policy) ?? 0;
  const isLarge = (policy: string) => mean(policy) >= largeAnswerThreshold;

  return {
    add: (policy, bytes) => {
      const old = means.get(policy);
      if (old === undefined && means.size >= policyLimit) return;
      const next = old === undefined ? bytes : old + (bytes - old) * newest;
      means.set(policy, next);
    },
    mean,
    isLarge,
    sizeOf: policy => (isLarge(policy) ? 'large' : 'small'),
  };
}

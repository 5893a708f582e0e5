/**
 * Learns from past answers which policies have large answers. Links between
 * failure domains are expensive, and the size of the answers determines their
 * load: in a service with lookups of 0.4 KB and archives of 90 KB, the archives
 * made up more than nine tenths of the bytes between domains.
 */
import {largeAnswerThreshold} from '../messages/answer.js';
import type {CallSize} from './instance-pool.js';

/** Weight of the newest answer in the moving average. */
const newestWeight = 0.1;

/** Maximum number of policies that are tracked; services have few policies. */
const maxPolicies = 256;

/** The sizes of answers by policy. */
export interface AnswerSizes {
  /** Records the size of an answer under a policy, in bytes. */
  add(policy: string, bytes: number): void;
  /** Moving average in bytes; 0 before the first answer. */
  mean(policy: string): number;
  isLarge(policy: string): boolean;
  sizeOf(policy: string): CallSize;
}

/** Creates empty statistics; answers of unknown size count as small. */
export function createAnswerSizes(): AnswerSizes {
  const means = new Map<string, number>();
  const mean = (policy: string) => means.get(policy) ?? 0;
  const isLarge = (policy: string) => mean(policy) >= largeAnswerThreshold;

  return {
    add: (policy, bytes) => {
      const previous = means.get(policy);
      if (previous === undefined && means.size >= maxPolicies) return;
      const next =
        previous === undefined
          ? bytes
          : previous + (bytes - previous) * newestWeight;
      means.set(policy, next);
    },
    mean,
    isLarge,
    sizeOf: policy => (isLarge(policy) ? 'large' : 'small'),
  };
}

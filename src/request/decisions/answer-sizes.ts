/** Which routes' answers are large, learnt from the answers that came. */

/**
 * Mean bytes from which answers count as large. Links between failure domains
 * are dear, and a request weighs no more than its answer: of a service whose
 * lookups answer with 0.4 KB and whose archives with 90 KB, the archives were
 * more than nine tenths of the bytes between domains.
 */
const largeFrom = 16 * 1024;

/** Weight of the newest answer in the mean. */
const newest = 0.1;

/** Policies whose answers are kept in mind; a service has a handful. */
const policyLimit = 256;

/** The sizes of answers by policy. */
export interface AnswerSizes {
  /** An answer under a policy had so many bytes. */
  add(policy: string, bytes: number): void;
  isLarge(policy: string): boolean;
}

/** Creates sizes that know nothing yet; unknown answers are not large. */
export function createAnswerSizes(): AnswerSizes {
  const means = new Map<string, number>();

  return {
    add: (policy, bytes) => {
      const mean = means.get(policy);
      if (mean === undefined && means.size >= policyLimit) return;
      const next = mean === undefined ? bytes : mean + (bytes - mean) * newest;
      means.set(policy, next);
    },
    isLarge: policy => (means.get(policy) ?? 0) >= largeFrom,
  };
}

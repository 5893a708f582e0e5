/** The label value that replaces new values once the limit is reached. */
export const overflowLabel = 'other';

/** Limits the number of values of a label. */
export interface LabelLimiter {
  /**
   * Returns `value` if it is among the first values seen, otherwise `other`.
   */
  label(value: string): string;
}

/**
 * Creates a limiter that keeps the first `limit` values. Each label value adds
 * series that are kept as long as the process runs; without a limit, a node
 * that receives requests for the routes of all 710 services would hold tens of
 * thousands of series.
 */
export function createLabelLimiter(limit: number): LabelLimiter {
  const seen = new Set<string>();
  return {
    label(value) {
      if (seen.has(value)) return value;
      if (seen.size >= limit) return overflowLabel;
      seen.add(value);
      return value;
    },
  };
}

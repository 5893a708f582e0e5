/** The label value of whatever came after the limit was reached. */
export const overflowLabel = 'other';

/** Keeps the number of a label's values bounded. */
export interface LabelLimiter {
  /** `value` while it is among the first ones seen, else `other`. */
  label(value: string): string;
}

/**
 * Creates a limit of `limit` values, first come first served. Each label value
 * costs series that live as long as the process: a node that met all of 710
 * services' routes would otherwise hold tens of thousands of them.
 */
export function createLabelLimiter(limit: number): LabelLimiter {
  const known = new Set<string>();
  return {
    label(value) {
      if (known.has(value)) return value;
      if (known.size >= limit) return overflowLabel;
      known.add(value);
      return value;
    },
  };
}

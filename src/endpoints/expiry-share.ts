/** The share of a service's instances that may expire close together. */
export const defaultExpiryShare = 0.25;

/**
 * How many of `total` instances may expire close together. One always may, so
 * that a single crash is cleared from a small service also.
 */
export function allowedExpiries(total: number, share: number): number {
  return Math.max(1, Math.floor(total * share));
}

/** The default share of a service's instances that may expire close together. */
export const defaultExpiryShare = 0.25;

/**
 * How many of `total` instances may expire close together. At least one may, so
 * that a single crashed instance is also removed from a small service.
 */
export function allowedExpiries(total: number, share: number): number {
  return Math.max(1, Math.floor(total * share));
}

/** Divides a quota among homes by their demand. */

/** The target fractions of one home. */
export interface Fractions {
  readonly rate: number;
  readonly capacity: number;
}

/**
 * Requests per second that are added to the demand of each home. The demand for
 * a small workspace is a few requests in ten seconds, and its fractions would
 * otherwise follow single requests.
 */
const prior = 0.2;

/**
 * The target fractions of homes, in the order of `demands` (requests per
 * second). Each home gets the capacity for one credit, as long as the capacity
 * suffices; if not, the homes with the highest demand do.
 */
export function divide(
  demands: readonly number[],
  capacity: number,
): Fractions[] {
  const total = demands.reduce((sum, demand) => sum + demand + prior, 0);
  const rates = demands.map(demand => (demand + prior) / total);
  const capacities = divideCapacity(rates, capacity);
  return rates.map((rate, index) => ({rate, capacity: capacities[index]!}));
}

function divideCapacity(rates: readonly number[], capacity: number): number[] {
  const homes = rates.length;
  if (capacity >= homes) {
    return rates.map(rate => 1 / capacity + (1 - homes / capacity) * rate);
  }
  const count = Math.max(1, Math.floor(capacity));
  const ranked = rates
    .map((rate, index) => ({rate, index}))
    .sort((left, right) => right.rate - left.rate || left.index - right.index)
    .slice(0, count);
  const chosen = new Set(ranked.map(({index}) => index));
  return rates.map((_rate, index) => (chosen.has(index) ? 1 / count : 0));
}

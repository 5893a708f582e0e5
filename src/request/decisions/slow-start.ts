/** Slow start: a new instance gets a growing share of the requests. */

/** Weight of an instance that has just started. */
const minWeight = 0.1;

/**
 * Returns the weight of an instance, from `minWeight` to 1, that started to
 * warm up `age` milliseconds ago. With its full share, a cold instance would
 * answer after its callers' deadlines.
 */
export function slowStartWeight(age: number, slowStart: number): number {
  if (slowStart <= 0 || age >= slowStart) return 1;
  return Math.max(minWeight, age / slowStart);
}

/** The share that a new instance gets while it warms. */

/** Share of a new instance at its start. */
const least = 0.1;

/**
 * The weight of an instance, from `least` to 1, that began to warm `age`
 * milliseconds ago. A cold instance given a full share answers late, and its
 * callers' deadlines pass.
 */
export function slowStartWeight(age: number, slowStart: number): number {
  if (slowStart <= 0 || age >= slowStart) return 1;
  return Math.max(least, age / slowStart);
}

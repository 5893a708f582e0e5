/** Decides until when the keys in force may be used. */

/**
 * Part of the time of a revocation for which the keys in force are used after
 * they were last confirmed. The rest covers a request that was received before
 * and waits in the buffers of the process.
 */
export const usableShare = 4 / 5;

/**
 * Whether the keys in force must not be used any more. `age` is the time since
 * a quorum confirmed them, undefined if never; without the setting `revocation`
 * they are used as long as nothing newer is known.
 */
export function areKeysExpired(
  age: number | undefined,
  revocation: number | undefined,
): boolean {
  if (revocation === undefined) return false;
  return age === undefined || age > revocation * usableShare;
}

import murmurhash from 'murmurhash';

/**
 * A digest of a set, independent of order: the exclusive or of the hashes of
 * its members, 64 bits in two halves. Adding and removing are one operation.
 */
export interface Digest {
  readonly low: number;
  readonly high: number;
}

/** The digest of the empty set. */
export const emptyDigest: Digest = {low: 0, high: 0};

const lowSeed = 1;
const highSeed = 2;

/** Hashes one member. */
export function digestText(text: string): Digest {
  return {
    low: murmurhash.v3(text, lowSeed),
    high: murmurhash.v3(text, highSeed),
  };
}

/** Adds a member's digest to a set's, or takes it out again. */
export function toggle(set: Digest, member: Digest): Digest {
  return {
    low: (set.low ^ member.low) >>> 0,
    high: (set.high ^ member.high) >>> 0,
  };
}

/** Whether two sets are taken for equal. */
export function equalDigests(left: Digest, right: Digest): boolean {
  return left.low === right.low && left.high === right.high;
}

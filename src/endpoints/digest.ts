import murmurhash from 'murmurhash';

/**
 * An order-independent digest of a set: the exclusive or of its members' hashes,
 * 64 bits in two halves. Adding and removing a member are the same operation.
 */
export interface Digest {
  readonly low: number;
  readonly high: number;
}

/** The digest of the empty set. */
export const emptyDigest: Digest = {low: 0, high: 0};

const lowSeed = 1;
const highSeed = 2;

/** The digest of one member. */
export function digestText(text: string): Digest {
  return {
    low: murmurhash.v3(text, lowSeed),
    high: murmurhash.v3(text, highSeed),
  };
}

/** Adds a member's digest to a set's digest, or removes it. */
export function toggle(set: Digest, member: Digest): Digest {
  return {
    low: (set.low ^ member.low) >>> 0,
    high: (set.high ^ member.high) >>> 0,
  };
}

/** Whether two digests are equal, which is taken to mean that the sets are. */
export function equalDigests(left: Digest, right: Digest): boolean {
  return left.low === right.low && left.high === right.high;
}

/**
 * Durations are counted in buckets whose bounds grow by a constant factor, so
 * that "times slower" is a shift by a number of buckets, and histograms of
 * different nodes can be added.
 */

/** Factor between the bounds of two buckets. */
const growth = 1.25;

/** Number of buckets; the last one takes all durations above 28 s. */
export const bucketCount = 48;

/** The bucket of a duration in milliseconds. */
export function bucketOf(duration: number): number {
  if (duration <= 1) return 0;
  const bucket = Math.round(Math.log(duration) / Math.log(growth));
  return Math.min(bucket, bucketCount - 1);
}

/** The duration in the middle of a bucket, in milliseconds. */
export function durationOf(bucket: number): number {
  return growth ** bucket;
}

/** The duration below which a share of the counted answers lies. */
export function quantile(counts: readonly number[], share: number): number {
  const total = counts.reduce((sum, count) => sum + count, 0);
  let remaining = total * share;
  for (const [bucket, count] of counts.entries()) {
    remaining -= count;
    if (count > 0 && remaining <= 0) return durationOf(bucket);
  }
  return 0;
}

/** A histogram without counts. */
export function emptyDurations(): number[] {
  return new Array<number>(bucketCount).fill(0);
}

/** Encodes a histogram as alternating bucket numbers and counts. */
export function toSparse(counts: readonly number[]): number[] {
  return counts.flatMap((count, bucket) => (count > 0 ? [bucket, count] : []));
}

/** Decodes a histogram; unknown buckets are left out. */
export function fromSparse(sparse: readonly number[]): number[] {
  const counts = emptyDurations();
  for (let index = 0; index + 1 < sparse.length; index += 2) {
    const bucket = sparse[index]!;
    if (bucket < bucketCount) counts[bucket] = sparse[index + 1]!;
  }
  return counts;
}

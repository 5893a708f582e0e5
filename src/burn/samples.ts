/** What the burn report keeps between scrapes. */

/** How one answer counts; the same strings as the metric's label. */
export type Verdict = 'good' | 'slow' | 'failed';

/** Answers of one service under one policy that ended alike. */
export interface Count {
  readonly service: string;
  readonly policy: string;
  /** The number of a result code. */
  readonly code: number;
  readonly verdict: Verdict;
  readonly count: number;
}

/** One node's counts since it started. */
export interface Scrape {
  readonly node: string;
  /** Milliseconds since the epoch when its counts began. */
  readonly started: number;
  readonly counts: readonly Count[];
}

/** Answers of all nodes between two times, in milliseconds since the epoch. */
export interface Interval {
  readonly from: number;
  readonly to: number;
  readonly counts: readonly Count[];
}

/** The samples file's content. */
export interface Samples {
  readonly scrapes: readonly Scrape[];
  /** When `scrapes` were taken; 0 before the first. */
  readonly time: number;
  /** Oldest first, without overlap. */
  readonly intervals: readonly Interval[];
}

/** Samples before the first scrape. */
export const noSamples: Samples = {scrapes: [], time: 0, intervals: []};

/** Adds the answers since the last scrapes; keeps those of nodes not reached. */
export function addScrapes(
  samples: Samples,
  time: number,
  scrapes: readonly Scrape[],
): Samples {
  const last = new Map(samples.scrapes.map(scrape => [scrape.node, scrape]));
  const counts = scrapes.flatMap(scrape =>
    increments(last.get(scrape.node), scrape, samples.time),
  );
  for (const scrape of scrapes) last.set(scrape.node, scrape);
  const interval = {from: samples.time, to: time, counts: mergeCounts(counts)};
  const isFirst = samples.time === 0;
  return {
    scrapes: [...last.values()],
    time,
    intervals: isFirst ? [] : [...samples.intervals, interval],
  };
}

/**
 * What one node answered since its last scrape. A restart begins its counts
 * anew: taking the difference would give a negative number, or lose answers
 * when the new count has passed the old one, so the start's time decides. A
 * node that was running before it was first seen has counts of unknown age:
 * they only set the mark.
 */
function increments(
  last: Scrape | undefined,
  now: Scrape,
  lastTime: number,
): readonly Count[] {
  if (last === undefined) return now.started >= lastTime ? now.counts : [];
  if (last.started !== now.started) return now.counts;
  const before = new Map(last.counts.map(count => [keyOf(count), count.count]));
  return now.counts.map(count => ({
    ...count,
    count: count.count - (before.get(keyOf(count)) ?? 0),
  }));
}

function keyOf(count: Count): string {
  return `${count.service} ${count.policy} ${count.code} ${count.verdict}`;
}

/** Sums counts that differ in nothing but their number; drops zeros. */
export function mergeCounts(counts: readonly Count[]): Count[] {
  const sums = new Map<string, Count>();
  for (const count of counts) {
    const key = keyOf(count);
    const sum = (sums.get(key)?.count ?? 0) + count.count;
    sums.set(key, {...count, count: sum});
  }
  return [...sums.values()].filter(count => count.count > 0);
}

/** How fine the history is, as shares of the objective's period. */
const resolutions = [
  {age: 1 / 4320, step: 0},
  {age: 1 / 120, step: 1 / 8640},
  {age: 1 / 10, step: 1 / 720},
  {age: 1, step: 1 / 30},
] as const;

/**
 * Drops what is older than the period and merges what is old, so that the file
 * stays bounded: about 180 intervals for a period, however often it is scraped.
 * An interval is never longer than the shortest window that still reads it.
 */
export function compact(samples: Samples, period: number): Samples {
  const merged: Interval[] = [];
  for (const interval of samples.intervals) {
    const age = samples.time - interval.to;
    if (age > period) continue;
    const last = merged.at(-1);
    const step = stepAt(age / period) * period;
    const joins =
      last !== undefined &&
      step > 0 &&
      last.to === interval.from &&
      Math.floor(last.from / step) === Math.floor(interval.from / step);
    if (joins) merged[merged.length - 1] = join(last, interval);
    else merged.push(interval);
  }
  return {...samples, intervals: merged};
}

function stepAt(age: number): number {
  return resolutions.find(resolution => age <= resolution.age)?.step ?? 1;
}

function join(left: Interval, right: Interval): Interval {
  return {
    from: left.from,
    to: right.to,
    counts: mergeCounts([...left.counts, ...right.counts]),
  };
}

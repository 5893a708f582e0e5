/** Samples that the burn report stores between scrapes. */

/** How an answer counts; values of the label `verdict` of the metric. */
export type Verdict = 'good' | 'slow' | 'failed';

/** Number of answers of one service and policy with equal code and verdict. */
export interface Count {
  readonly service: string;
  readonly policy: string;
  /** The number of a result code. */
  readonly code: number;
  readonly verdict: Verdict;
  readonly count: number;
}

/** Counts of one node since its start. */
export interface Scrape {
  readonly node: string;
  /** When the node started to count, in milliseconds since the epoch. */
  readonly started: number;
  readonly counts: readonly Count[];
}

/** Answers of all nodes between two times, in milliseconds since the epoch. */
export interface Interval {
  readonly from: number;
  readonly to: number;
  readonly counts: readonly Count[];
}

/** Content of the samples file. */
export interface Samples {
  readonly scrapes: readonly Scrape[];
  /**
   * When the last scrape was, in milliseconds since the epoch; 0 before the
   * first.
   */
  readonly time: number;
  /** Oldest first, without overlap. */
  readonly intervals: readonly Interval[];
}

/** Empty samples, as before the first scrape. */
export const noSamples: Samples = {scrapes: [], time: 0, intervals: []};

/**
 * Adds the answers since the last scrapes; keeps the last scrape of unreached
 * nodes.
 */
export function addScrapes(
  samples: Samples,
  time: number,
  scrapes: readonly Scrape[],
): Samples {
  const last = new Map(samples.scrapes.map(scrape => [scrape.node, scrape]));
  const counts = scrapes.flatMap(scrape =>
    countSince(last.get(scrape.node), scrape, samples.time),
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
 * The answers of one node since its last scrape. Counts restart from 0 with the
 * process, so the difference of counts may be negative, or too small when the
 * new count exceeds the old one. Therefore the start time shows whether the
 * node restarted. The counts of a node that ran before its first scrape are of
 * unknown age and only set the baseline.
 */
function countSince(
  last: Scrape | undefined,
  now: Scrape,
  lastTime: number,
): readonly Count[] {
  if (last === undefined) return now.started >= lastTime ? now.counts : [];
  if (last.started !== now.started) return now.counts;
  const previous = new Map(
    last.counts.map(count => [keyOf(count), count.count]),
  );
  return now.counts.map(count => ({
    ...count,
    count: count.count - (previous.get(keyOf(count)) ?? 0),
  }));
}

function keyOf(count: Count): string {
  return `${count.service} ${count.policy} ${count.code} ${count.verdict}`;
}

/** Sums counts of equal service, policy, code and verdict; omits zeros. */
export function mergeCounts(counts: readonly Count[]): Count[] {
  const sums = new Map<string, Count>();
  for (const count of counts) {
    const key = keyOf(count);
    const sum = (sums.get(key)?.count ?? 0) + count.count;
    sums.set(key, {...count, count: sum});
  }
  return [...sums.values()].filter(count => count.count > 0);
}

/** Length of merged intervals by age, both as shares of the period. */
const resolutions = [
  {age: 1 / 4320, step: 0},
  {age: 1 / 120, step: 1 / 8640},
  {age: 1 / 10, step: 1 / 720},
  {age: 1, step: 1 / 30},
] as const;

/**
 * Removes intervals older than the period and merges old ones, so that the file
 * is bounded: about 180 intervals for a period, whatever the scrape interval
 * is. An interval is never longer than the shortest window that still uses it.
 */
export function compact(samples: Samples, period: number): Samples {
  const merged: Interval[] = [];
  for (const interval of samples.intervals) {
    const age = samples.time - interval.to;
    if (age > period) continue;
    const last = merged.at(-1);
    const step = stepAt(age / period) * period;
    const isMergeable =
      last !== undefined &&
      step > 0 &&
      last.to === interval.from &&
      Math.floor(last.from / step) === Math.floor(interval.from / step);
    if (isMergeable) merged[merged.length - 1] = mergeIntervals(last, interval);
    else merged.push(interval);
  }
  return {...samples, intervals: merged};
}

function stepAt(age: number): number {
  return resolutions.find(resolution => age <= resolution.age)?.step ?? 1;
}

function mergeIntervals(left: Interval, right: Interval): Interval {
  return {
    from: left.from,
    to: right.to,
    counts: mergeCounts([...left.counts, ...right.counts]),
  };
}

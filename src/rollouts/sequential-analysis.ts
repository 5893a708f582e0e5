/**
 * Sequential likelihood ratio tests, for failures and for slow answers. Each
 * compares how well "as good as the stable versions" and "bad" explain the
 * target's answers; the stable versions' answers of the same span say what is
 * usual, so load, a slow callee or trouble elsewhere does not count against the
 * target. The sums are judged again with each report, and the verdict is `bad`
 * as soon as one test passes its limit.
 */
import {sum} from 'd3-array';
import {RolloutAnalysis, comparisonsOf} from './analysis.js';
import type {Comparison, Span, Verdict} from './analysis.js';
import type {Outcomes} from './evidence.js';

/** Log likelihood ratio from which the target counts as bad. */
const badScore = 12;

/** Log likelihood ratio from which the target is suspect. */
const suspectScore = 8;

/** Factor by which the share of failures may exceed the usual one. */
const failureTolerance = 1.5;

/** Share of failures that is tolerated in addition. */
const failureFloor = 0.015;

/** Smallest additional share of failures that counts as a fault. */
const failureFault = 0.12;

/** Greater shares of failures that a bad version may have. */
const failureShares = [0, 0.3, 0.6, 0.95] as const;

/** Part of the instances, and number, that may be bad in a good version. */
const badInstancePart = 0.25;
const mostBadInstances = 4;

/**
 * Log likelihood that explaining an instance by a fault of its own must gain, so
 * that chance at a few instances does not hide a fault of the version.
 */
const ownFaultPenalty = 4.5;

/** Answers of the target below which their durations say nothing. */
const minTargetDurations = 20;

/** Answers of the stable versions below which their durations say nothing. */
const minDurations = 30;

/**
 * Scales of one instance's durations in buckets of a factor of 1.25: its VM may
 * be faster or slower than most.
 */
const scales = [-1, 0, 1] as const;

/** Log likelihood that a scale other than the usual one must gain. */
const scalePenalty = 2.5;

interface SlowFault {
  /** Share of answers that are slow. */
  readonly share: number;
  /** How much slower they are, in buckets. */
  readonly shift: number;
}

/** Faults of a slow version: a part of its answers is 3 or 5 times slower. */
const slowFaults: readonly SlowFault[] = [0.2, 0.5, 1].flatMap(share => [
  {share, shift: 5},
  {share, shift: 7},
]);

/** Least probability of a bucket, so that no single answer decides. */
const leastProbability = 2e-3;

interface Finding {
  readonly score: number;
  readonly reason: string;
}

const noFinding: Finding = {score: 0, reason: 'nothing speaks against it'};

/** Creates the sequential analysis. */
export function createSequentialAnalysis(): RolloutAnalysis {
  return new (class extends RolloutAnalysis {
    judge(spans: readonly Span[]): Verdict {
      const worst = spans.map(judgeSpan).reduce(higher, noFinding);
      return {kind: kindOf(worst.score), reason: worst.reason};
    }
  })();
}

function kindOf(score: number): Verdict['kind'] {
  if (score >= badScore) return 'bad';
  return score >= suspectScore ? 'suspect' : 'unremarkable';
}

function higher(left: Finding, right: Finding): Finding {
  return right.score > left.score ? right : left;
}

/** Judges each route alone, and all routes together. */
function judgeSpan({name, table}: Span): Finding {
  const comparisons = comparisonsOf(table);
  const groups = comparisons.map(comparison => [comparison]);
  if (comparisons.length > 1) groups.push(comparisons);
  return groups
    .flatMap(group => [judgeFailures(group, name), judgeSlowness(group, name)])
    .reduce(higher, noFinding);
}

function judgeFailures(group: readonly Comparison[], span: string): Finding {
  const score = scoreOf(group, failureShares.length, instance =>
    failureFit(group, instance),
  );
  const targets = group.flatMap(each => [...each.targets.values()]);
  const failed = sum(targets, ({failures}) => failures);
  const answers = sum(targets, each => each.answers);
  const usual = sum(group, ({stable}) => stable.failures);
  const usualOf = sum(group, ({stable}) => stable.answers);
  const reason =
    `${failed} of ${answers} answers failed ${span} on ${routesOf(group)}, ` +
    `${usual} of ${usualOf} at the stable versions`;
  return {score, reason};
}

function judgeSlowness(group: readonly Comparison[], span: string): Finding {
  const measured = group.filter(
    ({stable}) => sum(stable.durations) >= minDurations,
  );
  const usual = measured.map(({stable}) => modelsOf(stable.durations));
  const score = scoreOf(measured, slowFaults.length, instance =>
    slownessFit(measured, usual, instance),
  );
  const targets = measured.flatMap(each => [...each.targets.values()]);
  const answers = sum(targets, ({durations}) => sum(durations));
  if (answers < minTargetDurations) return noFinding;
  const reason =
    `many of ${answers} answers ${span} on ${routesOf(measured)} ` +
    'are several times slower than at the stable versions';
  return {score, reason};
}

function routesOf(group: readonly Comparison[]): string {
  if (group.length > 1) return 'all routes';
  return `route ${group[0]?.route || '(others)'}`;
}

/** How well each hypothesis explains the answers of one instance. */
interface Fit {
  /** Log likelihood if the version is good. */
  readonly good: number;
  /** Log likelihoods if the version has one of the faults. */
  readonly bad: readonly number[];
  /** Log likelihood if the instance has a fault of its own. */
  readonly own: number;
}

/**
 * Log likelihood ratio of the best fault of the version to a good version of
 * which a few instances have faults of their own.
 */
function scoreOf(
  group: readonly Comparison[],
  faults: number,
  fitOf: (instance: string) => Fit,
): number {
  const instances = new Set(group.flatMap(({targets}) => [...targets.keys()]));
  const fits = [...instances].map(fitOf);
  const gains = fits
    .map(({good, own}) => own - ownFaultPenalty - good)
    .filter(gain => gain > 0)
    .sort((left, right) => right - left);
  const part = Math.ceil(fits.length * badInstancePart);
  const mayBeBad = fits.length > 1 ? Math.min(mostBadInstances, part) : 0;
  const good = sum(fits, fit => fit.good) + sum(gains.slice(0, mayBeBad));
  const bad = Array.from({length: faults}, (_, fault) =>
    sum(fits, fit => fit.bad[fault]!),
  );
  return fits.length === 0 ? 0 : Math.max(...bad) - good;
}

function failureFit(group: readonly Comparison[], instance: string): Fit {
  let good = 0;
  let answers = 0;
  let failures = 0;
  const bad = failureShares.map(() => 0);
  for (const {stable, targets} of group) {
    const outcomes = targets.get(instance);
    if (outcomes === undefined) continue;
    answers += outcomes.answers;
    failures += outcomes.failures;
    const usual = (stable.failures + 1) / (stable.answers + 20);
    const tolerated = Math.min(0.9, usual * failureTolerance + failureFloor);
    const least = Math.min(0.95, tolerated * failureTolerance + failureFault);
    good += binomial(outcomes, tolerated);
    failureShares.forEach((share, index) => {
      bad[index]! += binomial(outcomes, Math.max(least, share));
    });
  }
  const own = binomial({answers, failures}, failures / answers);
  return {good, bad, own};
}

/** Log likelihood of a number of failures. */
function binomial(
  {answers, failures}: Pick<Outcomes, 'answers' | 'failures'>,
  share: number,
): number {
  const failed = failures === 0 ? 0 : failures * Math.log(share);
  const left = answers - failures;
  return failed + (left === 0 ? 0 : left * Math.log(1 - share));
}

/** Log probabilities of the buckets under each hypothesis. */
interface DurationModels {
  readonly good: ReadonlyArray<readonly number[]>;
  /** By fault, then by scale. */
  readonly bad: ReadonlyArray<ReadonlyArray<readonly number[]>>;
}

function modelsOf(durations: readonly number[]): DurationModels {
  const usual = probabilities(durations);
  const scaled = scales.map(shift => shifted(usual, shift));
  return {
    good: scaled.map(logs),
    bad: slowFaults.map(fault =>
      scaled.map(probability => logs(withFault(probability, fault))),
    ),
  };
}

function slownessFit(
  group: readonly Comparison[],
  models: readonly DurationModels[],
  instance: string,
): Fit {
  const good = scales.map(() => 0);
  const bad = slowFaults.map(() => scales.map(() => 0));
  group.forEach(({targets}, index) => {
    const durations = targets.get(instance)?.durations;
    if (durations === undefined) return;
    const model = models[index]!;
    scales.forEach((_, scale) => {
      good[scale]! += logLikelihood(durations, model.good[scale]!);
      slowFaults.forEach((_fault, fault) => {
        bad[fault]![scale]! += logLikelihood(
          durations,
          model.bad[fault]![scale]!,
        );
      });
    });
  });
  const best = bad.map(bestScale);
  return {good: bestScale(good), bad: best, own: Math.max(...best, ...good)};
}

function bestScale(likelihoods: readonly number[]): number {
  const weighed = likelihoods.map((likelihood, index) =>
    scales[index] === 0 ? likelihood : likelihood - scalePenalty,
  );
  return Math.max(...weighed);
}

/** Smoothed probabilities of the buckets. */
function probabilities(counts: readonly number[]): number[] {
  const total = sum(counts);
  return counts.map((count, bucket) => {
    const neighbours = (counts[bucket - 1] ?? 0) + (counts[bucket + 1] ?? 0);
    return (count / 2 + neighbours / 4) / total;
  });
}

function shifted(usual: readonly number[], shift: number): number[] {
  return usual.map((_, bucket) => usual[bucket - shift] ?? 0);
}

function withFault(
  usual: readonly number[],
  {share, shift}: SlowFault,
): number[] {
  const slow = shifted(usual, shift);
  return usual.map(
    (probability, bucket) => (1 - share) * probability + share * slow[bucket]!,
  );
}

function logs(likely: readonly number[]): number[] {
  return likely.map(each => Math.log(Math.max(leastProbability, each)));
}

function logLikelihood(
  counts: readonly number[],
  likely: readonly number[],
): number {
  return sum(counts, (count, bucket) => count * likely[bucket]!);
}

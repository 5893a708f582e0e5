/** Fixed thresholds on shares and on a quantile, as most roll-out tools have. */
import {sum} from 'd3-array';
import {RolloutAnalysis, comparisonsOf, totalAnswers} from './analysis.js';
import type {Comparison, Span, Verdict} from './analysis.js';
import {emptyDurations, quantile} from './duration-buckets.js';

/** Answers of the target below which nothing is judged. */
const minAnswers = 30;

/** Share of failures above the usual one that counts as a fault. */
const failureLimit = 0.05;

/** Ratio of the 90th percentiles of durations that counts as a fault. */
const slownessLimit = 1.8;

/** Creates the analysis by thresholds. */
export function createThresholdAnalysis(): RolloutAnalysis {
  return new (class extends RolloutAnalysis {
    judge(spans: readonly Span[]): Verdict {
      const [first] = spans;
      const problems = comparisonsOf(first?.table ?? new Map()).flatMap(
        findProblems,
      );
      const [reason] = problems;
      if (reason !== undefined) return {kind: 'bad', reason};
      return {kind: 'unremarkable', reason: 'all thresholds are kept'};
    }
  })();
}

function findProblems({route, stable, targets}: Comparison): string[] {
  const answers = totalAnswers(targets.values());
  if (answers < minAnswers || stable.answers < minAnswers) return [];
  const failed = sum(targets.values(), ({failures}) => failures) / answers;
  const usual = stable.failures / stable.answers;
  const durations = emptyDurations();
  for (const target of targets.values()) {
    target.durations.forEach((count, bucket) => (durations[bucket]! += count));
  }
  const ratio = quantile(durations, 0.9) / quantile(stable.durations, 0.9);
  return [
    ...(failed > usual + failureLimit ? [`failures on route ${route}`] : []),
    ...(ratio > slownessLimit ? [`slow answers on route ${route}`] : []),
  ];
}

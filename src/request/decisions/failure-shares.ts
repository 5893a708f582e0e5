/**
 * Tells failures of one instance from failures that all instances of a service
 * share. If a service lacks capacity that the instances of another one call,
 * those fail a part of their requests, each about as often. If each failure
 * counted against its instance, most of them would be left out in turn, and the
 * others would be full.
 */

/** The shares of failed answers of the instances of one service. */
export interface FailureShares {
  /** Records an answer of an instance. */
  record(instance: string, hasFailed: boolean): void;
  /** Whether the failures of an instance are as frequent as those of others. */
  isCommon(instance: string): boolean;
  /** Removes the record of an instance that is gone or has restarted. */
  remove(instance: string): void;
}

/** Factor on the older answers of all instances at each answer of any. */
const answerDecay = 1 - 1 / 64;

/** Answers without a failure that are assumed before there are any. */
const assumedAnswers = 1;

/** Share of the others below which failures are those of single instances. */
const minCommon = 0.03;

/** How much higher than that of the others the share of an instance may be. */
const maxExcess = 0.2;

/**
 * Probability of as many failures in a row by the share of the others, below
 * which they are those of the instance.
 */
const minLikelihood = 0.001;

/** Answers of one instance; counts lose weight as the service answers. */
interface AnswerCounts {
  /** Failures since the last answer without one. */
  row: number;
  answers: number;
  failures: number;
}

/** Creates an empty record. */
export function createFailureShares(): FailureShares {
  const instances = new Map<string, AnswerCounts>();

  function countsOf(instance: string): AnswerCounts {
    let counts = instances.get(instance);
    if (counts === undefined) {
      counts = {row: 0, answers: 0, failures: 0};
      instances.set(instance, counts);
    }
    return counts;
  }

  /**
   * Share of failures in the answers of some instances. All are counted over
   * the same time: otherwise one that answers seldom would stand for a time
   * before the failures began, and one that answers often would seem worse.
   */
  function shareOf(isIncluded: (instance: string) => boolean): number {
    let answers = assumedAnswers;
    let failures = 0;
    for (const [instance, counts] of instances) {
      if (!isIncluded(instance)) continue;
      answers += counts.answers;
      failures += counts.failures;
    }
    return failures / answers;
  }

  return {
    record: (instance, hasFailed) => {
      const own = countsOf(instance);
      for (const counts of instances.values()) {
        counts.answers *= answerDecay;
        counts.failures *= answerDecay;
      }
      own.answers++;
      if (hasFailed) own.failures++;
      own.row = hasFailed ? own.row + 1 : 0;
    },
    isCommon: instance => {
      const common = shareOf(other => other !== instance);
      if (common < minCommon) return false;
      if (shareOf(other => other === instance) <= common + maxExcess)
        return true;
      return common ** countsOf(instance).row > minLikelihood;
    },
    remove: instance => void instances.delete(instance),
  };
}

/** Limits the share of an entry's calls to one service that may be retries. */

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget; 0.1 by default. */
  readonly ratio?: number;
  /** Maximum number of retries in the budget; 10 by default. */
  readonly most?: number;
}

/** A token bucket of retries that is filled by requests. */
export interface RetryBudget {
  /** Adds the share of one request; called for each first attempt. */
  earn(): void;
  /** Takes one retry from the budget; false if it is empty. */
  take(): boolean;
}

const defaultRatio = 0.1;
const defaultMax = 10;

/** Creates a full budget. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const ratio = options.ratio ?? defaultRatio;
  const max = options.most ?? defaultMax;
  let available = max;

  return {
    earn: () => {
      available = Math.min(max, available + ratio);
    },
    take: () => {
      if (available < 1) return false;
      available -= 1;
      return true;
    },
  };
}

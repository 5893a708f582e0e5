/** How much of an entry's work towards one service may be retries. */

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries that each request earns; 0.1 unless given. */
  readonly ratio?: number;
  /** Retries that can be saved up; 10 unless given. */
  readonly most?: number;
}

/** A store of retries, filled by requests. */
export interface RetryBudget {
  /** A first attempt was made. */
  earn(): void;
  /** Takes one retry; false when none is left. */
  take(): boolean;
}

const defaultRatio = 0.1;
const defaultMost = 10;

/** Creates a budget that is full. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const ratio = options.ratio ?? defaultRatio;
  const most = options.most ?? defaultMost;
  let saved = most;

  return {
    earn: () => {
      saved = Math.min(most, saved + ratio);
    },
    take: () => {
      if (saved < 1) return false;
      saved -= 1;
      return true;
    },
  };
}

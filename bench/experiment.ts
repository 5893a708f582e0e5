import type {Plot} from '../src/plot/plot.js';

/** Types of the experiments that `npm run bench` runs. */

/** Options of a run. */
export interface RunOptions {
  /** Seed of all random choices; the same seed gives the same load. */
  readonly seed: number;
  /** Seconds that the measurements of all variants may take together. */
  readonly seconds: number;
}

/** One measured figure. */
export interface Row {
  /** What was measured, such as `added latency p99`. */
  readonly figure: string;
  readonly unit: string;
  readonly value: number;
  /**
   * The baseline's value in the same run; absent if the row has no baseline.
   */
  readonly baseline?: number;
  /** `value` divided by `baseline`. */
  readonly ratio?: number;
}

/** The results of a run. */
export interface Outcome {
  readonly rows: readonly Row[];
  readonly plots?: readonly Plot[];
  /** Counts that show how reliable the figures are, such as sample sizes. */
  readonly counts?: Readonly<Record<string, number>>;
  /** Additional information for the reader, such as parts that did not run. */
  readonly notes?: readonly string[];
}

/**
 * An experiment; its module under `experiments/` exports it as `experiment`.
 */
export interface Experiment {
  /** File name of the module without its extension. */
  readonly name: string;
  /** Description in one line. */
  readonly about: string;
  /**
   * Description of what the figures are compared to, measured in the same run.
   */
  readonly baseline: string;
  /** Default of `RunOptions.seconds`. */
  readonly seconds: number;
  run(options: RunOptions): Promise<Outcome>;
}

/** Creates a row that compares a value to its baseline. */
export function compare(
  figure: string,
  unit: string,
  value: number,
  baseline: number,
): Row {
  return {figure, unit, value, baseline, ratio: value / baseline};
}

export type {Plot, Series} from '../src/plot/plot.js';

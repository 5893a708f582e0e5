import type {Plot} from '../src/plot/plot.js';

/** What an experiment is, for `npm run bench`. */

/** How one run is bounded. */
export interface RunOptions {
  /** Seed of every random choice; the same seed gives the same load. */
  readonly seed: number;
  /** Seconds that the measured part may take, all variants together. */
  readonly seconds: number;
}

/** One figure. */
export interface Row {
  /** What was measured, such as `added latency p99`. */
  readonly figure: string;
  readonly unit: string;
  readonly value: number;
  /** The same figure of the baseline in the same run; absent for a baseline's own. */
  readonly baseline?: number;
  /** `value` divided by `baseline`. */
  readonly ratio?: number;
}

/** What a run gave. */
export interface Outcome {
  readonly rows: readonly Row[];
  readonly plots?: readonly Plot[];
  /** Counts that tell how far the figures can be trusted. */
  readonly counts?: Readonly<Record<string, number>>;
  /** What a reader must know besides, such as parts that were not run. */
  readonly notes?: readonly string[];
}

/** One experiment; its module under `experiments/` exports it as `experiment`. */
export interface Experiment {
  /** The file's name without its ending. */
  readonly name: string;
  /** One line. */
  readonly about: string;
  /** What the figures are compared to, measured in the same run. */
  readonly baseline: string;
  /** Seconds when the command line names none. */
  readonly seconds: number;
  run(options: RunOptions): Promise<Outcome>;
}

/** A row set against its baseline. */
export function compare(
  figure: string,
  unit: string,
  value: number,
  baseline: number,
): Row {
  return {figure, unit, value, baseline, ratio: value / baseline};
}

export type {Plot, Series} from '../src/plot/plot.js';

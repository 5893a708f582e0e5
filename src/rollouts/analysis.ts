/** Compares the target of a roll-out with the stable versions. */
import {sum} from 'd3-array';
import type {Outcomes, RouteTable} from './evidence.js';

/** What the evidence says about the target. */
export interface Verdict {
  /**
   * - `unremarkable`: nothing speaks against the target.
   * - `suspect`: something does, but chance may explain it.
   * - `bad`: chance does not explain it.
   */
  readonly kind: 'unremarkable' | 'suspect' | 'bad';
  /** What speaks most against the target, for operators. */
  readonly reason: string;
}

/** The outcomes in one span of time, such as since the order. */
export interface Span {
  /** For operators, such as `since the order`. */
  readonly name: string;
  readonly table: RouteTable;
}

/** A way to tell a bad version from a good one. */
export abstract class RolloutAnalysis {
  /** Judges the target by its outcomes in several spans. */
  abstract judge(spans: readonly Span[]): Verdict;
}

/** Outcomes of the target's instances on one route, beside the stable ones. */
export interface Comparison {
  readonly route: string;
  readonly stable: Outcomes;
  readonly targets: ReadonlyMap<string, Outcomes>;
}

/** The routes on which the target has answered. */
export function comparisonsOf(table: RouteTable): Comparison[] {
  return [...table]
    .map(([route, {stable, targets}]) => ({route, stable, targets}))
    .filter(({targets}) => totalAnswers(targets.values()) > 0);
}

/** Number of answers in all outcomes. */
export function totalAnswers(outcomes: Iterable<Outcomes>): number {
  return sum(outcomes, ({answers}) => answers);
}

/**
 * Numbered result codes. Each slice defines its own in its `codes.ts`, inside
 * the range given in `table.ts`; a number is never reused for another meaning.
 */

/**
 * What is known of the work that a result speaks of.
 * - `done`: it ran, once, and the answer is whole.
 * - `not-run`: no part of it began; sending it again is safe.
 * - `unknown`: it may have begun; only an idempotent resend is safe.
 */
export type Effect = 'done' | 'not-run' | 'unknown';

/** One numbered result. */
export interface Code {
  readonly number: number;
  readonly name: string;
  readonly effect: Effect;
  /** The HTTP status that carries it to a caller, where one does. */
  readonly status: number;
  /** What it means and what to do about it, one sentence each. */
  readonly meaning: string;
}

/** Defines one code. */
export function defineCode(
  number: number,
  name: string,
  effect: Effect,
  status: number,
  meaning: string,
): Code {
  return {number, name, effect, status, meaning};
}

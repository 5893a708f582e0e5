/**
 * Numbered result codes. Each component defines its codes in its `codes.ts`, within
 * the range given in `src/admin/result-table.ts`. A number is never reused for
 * another meaning.
 */

/**
 * What is known about the execution of the work.
 * - `done`: it ran exactly once, and the response is complete.
 * - `not-run`: no part of it was started; sending it again is safe.
 * - `unknown`: it may have been started; only idempotent work is safe to resend.
 */
export type Effect = 'done' | 'not-run' | 'unknown';

/** One numbered result. */
export interface Code {
  readonly number: number;
  readonly name: string;
  readonly effect: Effect;
  /** The HTTP status of a response with this result, where there is one. */
  readonly status: number;
  /** The meaning and the recommended action, one sentence each. */
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

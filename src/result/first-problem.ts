import type {ZodError} from 'zod';

/** The first thing wrong with checked input; `whole` names it where no field does. */
export function firstProblem({issues}: ZodError, whole: string): string {
  const issue = issues[0]!;
  return `${issue.path.join('.') || whole}: ${issue.message}`;
}

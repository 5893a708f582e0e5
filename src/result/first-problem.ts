import type {ZodError} from 'zod';

/** Describes the first problem of validated input; `whole` names the input as a whole. */
export function firstProblem({issues}: ZodError, whole: string): string {
  const issue = issues[0]!;
  return `${issue.path.join('.') || whole}: ${issue.message}`;
}

/** Why a text is not a command, and where. */
export interface Problem {
  /** What was expected, or what is wrong with the value. */
  readonly message: string;
  /** Where the word starts in the text. */
  readonly offset: number;
  /** Characters of the word; at least 1. */
  readonly length: number;
}

/** Carries a problem out of the parser. */
export class ProblemError extends Error {
  constructor(readonly problem: Problem) {
    super(problem.message);
  }
}

/** Shows the line, a caret line under the word, and what was expected. */
export function renderProblem(text: string, problem: Problem): string {
  const start = text.lastIndexOf('\n', problem.offset - 1) + 1;
  const end = text.indexOf('\n', problem.offset);
  const line = text.slice(start, end === -1 ? undefined : end).trimEnd();
  const column = problem.offset - start;
  const indent = line.slice(0, column).replace(/[^\t]/g, ' ');
  const width = Math.max(1, Math.min(problem.length, line.length - column));
  const pad = ' '.repeat(Math.max(0, column - indent.length));
  const caret = `${indent}${pad}${'^'.repeat(width)}`;
  const number = text.slice(0, start).split('\n').length;
  const where = text.trimEnd().includes('\n') ? `line ${number}: ` : '';
  return `${line}\n${caret} ${where}${problem.message}`;
}

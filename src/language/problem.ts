import {maskKeys} from './masked-line.js';

/** A syntax error and its position. */
export interface Problem {
  /** What was expected at this position. */
  readonly message: string;
  /** Index of the word's first character in the text. */
  readonly offset: number;
  /** Length of the word in characters; at least 1. */
  readonly length: number;
}

/** Thrown by parser rules to report a problem. */
export class ProblemError extends Error {
  constructor(readonly problem: Problem) {
    super(problem.message);
  }
}

/**
 * Renders the line without keys, carets under the word, and the message.
 */
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
  const position = text.trimEnd().includes('\n') ? `line ${number}: ` : '';
  return `${maskKeys(line)}\n${caret} ${position}${problem.message}`;
}

import type {IRecognitionException, IToken} from 'chevrotain';
import type {Edit} from '../configuration/messages.js';
import {parser} from './parser.js';
import {ProblemError} from './problem.js';
import type {Problem} from './problem.js';
import type {Statement} from './statement.js';
import {lexer} from './tokens.js';
import {listChoices} from './values.js';

/** A text as the language reads it. */
export type Parsed<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly problem: Problem};

/** Expected words named in a message. */
const wordsNamed = 12;

/** Reads one command. */
export function parseCommand(text: string): Parsed<Statement> {
  return parse(text, 'command', () => parser.command());
}

/** Reads the edits of a file; they make one change. */
export function parseEdits(text: string): Parsed<readonly Edit[]> {
  const trimmed = text.replace(/^\s+/, blank => blank.replace(/\S|\n/g, ' '));
  return parse(trimmed, 'edits', () => parser.edits());
}

/** Whether a `begin` waits for its `end`, so that more lines belong to it. */
export function isOpen(text: string): boolean {
  const words = lexer.tokenize(text).tokens.map(({image}) => image);
  while (words[0] === 'as' || words[0] === 'expect') words.splice(0, 2);
  return words[0] === 'begin' && !words.includes('end');
}

function parse<T>(text: string, rule: string, run: () => T): Parsed<T> {
  const {tokens, errors} = lexer.tokenize(text);
  const [unread] = errors;
  if (unread !== undefined) {
    const {offset, length} = unread;
    return {ok: false, problem: {message: 'a stray "', offset, length}};
  }
  try {
    parser.input = tokens;
    const value = run();
    const [error] = parser.errors;
    if (error === undefined) return {ok: true, value};
    return {ok: false, problem: describe(text, tokens, rule, error)};
  } catch (error) {
    if (!(error instanceof ProblemError)) throw error;
    return {ok: false, problem: error.problem};
  }
}

function describe(
  text: string,
  tokens: IToken[],
  rule: string,
  error: IRecognitionException,
): Problem {
  const at = tokens.indexOf(error.token);
  const before = at === -1 ? tokens : tokens.slice(0, at);
  const message = `expected ${listExpected(rule, before)}`;
  if (at === -1) return {message, offset: text.trimEnd().length, length: 1};
  const {startOffset, image} = error.token;
  return {message, offset: startOffset, length: image.trimEnd().length || 1};
}

function listExpected(rule: string, before: IToken[]): string {
  const paths = parser.computeContentAssist(rule, before);
  const labels = paths.map(({nextTokenType}) => nextTokenType.LABEL ?? '');
  const unique = [...new Set(labels)];
  if (unique.length === 0) return 'the end of the command';
  return listChoices(unique.slice(0, wordsNamed));
}

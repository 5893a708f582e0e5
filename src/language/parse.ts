import type {IRecognitionException, IToken} from 'chevrotain';
import type {Edit} from '../configuration/messages.js';
import {parser} from './parser.js';
import {ProblemError} from './problem.js';
import type {Problem} from './problem.js';
import type {Statement} from './statement.js';
import {lexer, Separator, Word} from './tokens.js';
import {listChoices} from './values.js';

/** A text as the language reads it. */
export type Parsed<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly problem: Problem};

/** Expected words named in a message. */
const wordsNamed = 12;

/** What the word after a keyword is, where it is not a name. */
const wordHints: Readonly<Record<string, string>> = {
  as: 'OPERATOR/SEQUENCE, such as amina/7',
  expect: 'a version',
  wait: 'a version',
  history: 'a number of changes',
  apply: 'a file name',
  within: 'a duration such as 5s',
  deadline: 'a duration such as 250ms',
  'slow-start': 'a duration such as 5s',
  attempts: 'a whole number',
  priority: 'critical, normal or background',
  repeat: 'once or idempotent',
  body: 'a size such as 64MiB',
  objective: 'a percentage such as 99.9%',
  prefix: 'a path that starts with /',
  methods: 'methods such as GET,POST',
  at: 'an IP number and port',
};

type RuleName = 'command' | 'content';

/** Reads one command. */
export function parseCommand(text: string): Parsed<Statement> {
  return parse(text, 'command', () => parser.command());
}

/** Reads the edits of a file; they make one change. */
export function parseEdits(text: string): Parsed<readonly Edit[]> {
  return parse(text, 'content', () => parser.content());
}

/** Whether a `begin` waits for its `end`, so that more lines belong to it. */
export function isIncompleteBlock(text: string): boolean {
  const {tokens} = lexer.tokenize(text);
  const first = tokens.findIndex(({image}) => image === 'begin');
  const isBlock = tokens.slice(0, Math.max(0, first)).every(isPrefix);
  if (first === -1 || !isBlock) return false;
  const isEnd = (token: IToken, at: number) =>
    token.image === 'end' && tokens[at - 1]?.tokenType === Separator;
  return !tokens.some(isEnd);
}

/** Only `as ID` and `expect VERSION` may come before a `begin`. */
function isPrefix(token: IToken, at: number): boolean {
  return at % 2 === 1 || token.image === 'as' || token.image === 'expect';
}

function parse<T>(text: string, rule: RuleName, run: () => T): Parsed<T> {
  const {tokens, errors} = lexer.tokenize(text);
  const [unread] = errors;
  if (unread !== undefined) {
    const {offset, length} = unread;
    const message = 'expected a closing "';
    return {ok: false, problem: {message, offset, length}};
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
  rule: RuleName,
  error: IRecognitionException,
): Problem {
  const at = tokens.indexOf(error.token);
  const before = at === -1 ? tokens : tokens.slice(0, at);
  const message = `expected ${listExpected(rule, before)}`;
  if (at === -1) return {message, offset: text.trimEnd().length, length: 1};
  const {startOffset, image} = error.token;
  return {message, offset: startOffset, length: image.trimEnd().length || 1};
}

function listExpected(rule: RuleName, before: IToken[]): string {
  const paths = parser.computeContentAssist(rule, before);
  const word = wordHints[before.at(-1)?.image ?? ''] ?? 'a name';
  const labels = paths.map(({nextTokenType}) =>
    nextTokenType === Word ? word : (nextTokenType.LABEL ?? ''),
  );
  const unique = [...new Set(labels)].slice(0, wordsNamed);
  if (isWhole(rule, before)) unique.push('the end of the command');
  return listChoices(unique);
}

/** Whether the words so far would be a command by themselves. */
function isWhole(rule: RuleName, before: IToken[]): boolean {
  try {
    parser.input = before;
    parser[rule]();
    return parser.errors.length === 0;
  } catch (error) {
    if (error instanceof ProblemError) return false;
    throw error;
  }
}

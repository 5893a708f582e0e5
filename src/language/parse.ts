import type {IRecognitionException, IToken} from 'chevrotain';
import type {Edit} from '../configuration/messages.js';
import {parser} from './parser.js';
import {ProblemError} from './problem.js';
import type {Problem} from './problem.js';
import type {Statement} from './statement.js';
import {lexer, Separator, Word} from './tokens.js';
import {listChoices} from './values.js';

/** The result of parsing a text. */
export type Parsed<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly problem: Problem};

/** Maximum number of expected words that a message lists. */
const maxListedWords = 12;

/** Describes the word after a keyword, unless it is a name. */
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
  keys: 'keys such as "KEY,KEY"',
  rate: 'a number of requests per second',
  burst: 'a number of requests',
};

type RuleName = 'command' | 'content';

/** Parses one command. */
export function parseCommand(text: string): Parsed<Statement> {
  return parse(text, 'command', () => parser.command());
}

/** Parses the edits of a file; they form one change. */
export function parseEdits(text: string): Parsed<readonly Edit[]> {
  return parse(text, 'content', () => parser.content());
}

/**
 * Whether the text has a `begin` without its `end`, so that more lines follow.
 */
export function isIncompleteBlock(text: string): boolean {
  const {tokens} = lexer.tokenize(text);
  const beginIndex = tokens.findIndex(({image}) => image === 'begin');
  const isBlock = tokens.slice(0, Math.max(0, beginIndex)).every(isPrefix);
  if (beginIndex === -1 || !isBlock) return false;
  const isEnd = (token: IToken, index: number) =>
    token.image === 'end' && tokens[index - 1]?.tokenType === Separator;
  return !tokens.some(isEnd);
}

/** Only `as ID` and `expect VERSION` may precede a `begin`. */
function isPrefix(token: IToken, index: number): boolean {
  return index % 2 === 1 || token.image === 'as' || token.image === 'expect';
}

function parse<T>(text: string, rule: RuleName, run: () => T): Parsed<T> {
  const {tokens, errors} = lexer.tokenize(text);
  const [lexerError] = errors;
  if (lexerError !== undefined) {
    const {offset, length} = lexerError;
    const message = 'expected a closing "';
    return {ok: false, problem: {message, offset, length}};
  }
  try {
    parser.input = tokens;
    const value = run();
    const [error] = parser.errors;
    if (error === undefined) return {ok: true, value};
    return {ok: false, problem: describeError(text, tokens, rule, error)};
  } catch (error) {
    if (!(error instanceof ProblemError)) throw error;
    return {ok: false, problem: error.problem};
  }
}

function describeError(
  text: string,
  tokens: IToken[],
  rule: RuleName,
  error: IRecognitionException,
): Problem {
  const index = tokens.indexOf(error.token);
  const preceding = index === -1 ? tokens : tokens.slice(0, index);
  const message = `expected ${listExpected(rule, preceding)}`;
  if (index === -1) return {message, offset: text.trimEnd().length, length: 1};
  const {startOffset, image} = error.token;
  return {message, offset: startOffset, length: image.trimEnd().length || 1};
}

function listExpected(rule: RuleName, preceding: IToken[]): string {
  const paths = parser.computeContentAssist(rule, preceding);
  const hint = wordHints[preceding.at(-1)?.image ?? ''] ?? 'a name';
  const labels = paths.map(({nextTokenType}) =>
    nextTokenType === Word ? hint : (nextTokenType.LABEL ?? ''),
  );
  const unique = [...new Set(labels)].slice(0, maxListedWords);
  if (isComplete(rule, preceding)) unique.push('the end of the command');
  return listChoices(unique);
}

/** Whether the preceding words alone form a complete text. */
function isComplete(rule: RuleName, preceding: IToken[]): boolean {
  try {
    parser.input = preceding;
    parser[rule]();
    return parser.errors.length === 0;
  } catch (error) {
    if (error instanceof ProblemError) return false;
    throw error;
  }
}

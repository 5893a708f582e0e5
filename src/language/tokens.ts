import {createToken, Lexer} from 'chevrotain';
import type {TokenType} from 'chevrotain';

/** Tokens of the operators' language. */

/**
 * Any text without spaces, separators, quotes and comments; includes keywords.
 */
export const Word = createToken({
  name: 'Word',
  label: 'a word',
  pattern: /[^\s;"#]+/,
});

/** Quoted text, used for file names and keys of workspaces. */
export const Text = createToken({
  name: 'Text',
  label: 'quoted text',
  pattern: /"[^"\n]*"/,
});

/** Separates edits. */
export const Separator = createToken({
  name: 'Separator',
  label: '";"',
  pattern: /;|\r?\n/,
  line_breaks: true,
});

const Space = createToken({
  name: 'Space',
  pattern: /[ \t]+/,
  group: Lexer.SKIPPED,
});

const Comment = createToken({
  name: 'Comment',
  pattern: /#[^\n]*/,
  group: Lexer.SKIPPED,
});

const keywordTexts = [
  'as',
  'expect',
  'begin',
  'end',
  'put',
  'remove',
  'drain',
  'undrain',
  'release',
  'start',
  'rollout',
  'roll',
  'back',
  'show',
  'history',
  'wait',
  'replace',
  'apply',
  'accept',
  'loss',
  'help',
  'service',
  'route',
  'policy',
  'workspace',
  'services',
  'routes',
  'policies',
  'workspaces',
  'drains',
  'quarantines',
  'rollouts',
  'in',
  'force',
  'control',
  'slow-start',
  'prefix',
  'methods',
  'to',
  'under',
  'priority',
  'deadline',
  'attempts',
  'repeat',
  'body',
  'objective',
  'within',
  'keyed',
  'public',
  'keys',
  'rate',
  'burst',
  'of',
  'with',
  'at',
] as const;

/** A word that the grammar uses as a keyword; elsewhere it is a plain word. */
export type Keyword = (typeof keywordTexts)[number];

/** Longest first; otherwise the lexer would match `services` as `service`. */
const keywordTokens = new Map<Keyword, TokenType>(
  [...keywordTexts]
    .sort((left, right) => right.length - left.length)
    .map(text => [text, createKeyword(text)]),
);

/** Returns the token type of a keyword. */
export function keyword(text: Keyword): TokenType {
  return keywordTokens.get(text)!;
}

/** All token types, in the order in which the lexer tries them. */
export const vocabulary: TokenType[] = [
  Space,
  Comment,
  Separator,
  Text,
  ...keywordTokens.values(),
  Word,
];

/** Splits text into tokens. */
export const lexer = new Lexer(vocabulary, {ensureOptimizations: false});

function createKeyword(text: Keyword): TokenType {
  return createToken({
    name: `Keyword-${text}`,
    label: text,
    pattern: text,
    longer_alt: Word,
    categories: [Word],
  });
}

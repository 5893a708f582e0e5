import type {IToken} from 'chevrotain';
import {isAddress} from '../link/address.js';
import {digestOfKey} from '../workspaces/key-digest.js';
import {isKey} from '../workspaces/key-form.js';
import {ProblemError} from './problem.js';
import type {CommandId} from './statement.js';

/** Conversion of single words to typed values. */

const milliseconds = {ms: 1, s: 1000, m: 60_000} as const;

const bytes = {
  B: 1,
  KiB: 1024,
  MiB: 1024 * 1024,
  GiB: 1024 * 1024 * 1024,
} as const;

/** Throws a problem at a token; `expected` completes "expected ...". */
export function reject(token: IToken, expected: string): never {
  throw new ProblemError({
    message: `expected ${expected}`,
    offset: token.startOffset,
    length: token.image.length,
  });
}

/** Reads the name of an item, an instance, an operator or a process. */
export function toName(token: IToken): string {
  if (/^[a-z0-9][a-z0-9.-]{0,62}$/.test(token.image)) return token.image;
  return reject(
    token,
    'a name of 1 to 63 letters a-z, digits, dots or hyphens',
  );
}

/** Reads a whole number of at least `min`. */
export function toCount(token: IToken, min = 0): number {
  const value = Number(token.image);
  const isCount = /^\d+$/.test(token.image) && Number.isSafeInteger(value);
  if (isCount && value >= min) return value;
  return reject(token, `a whole number of at least ${min}`);
}

/** Reads a duration such as `250ms`, `5s` or `2m`; returns milliseconds. */
export function toDuration(token: IToken): number {
  const value = scale(token.image, milliseconds);
  return value ?? reject(token, 'a duration such as 250ms, 5s or 2m');
}

/** Reads a duration of at least a millisecond. */
export function toPositiveDuration(token: IToken): number {
  const value = toDuration(token);
  return value > 0 ? value : reject(token, 'a duration above zero');
}

/** Reads a version of a service's software. */
export function toVersion(token: IToken): string {
  if (/^[!-~]{1,64}$/.test(token.image)) return token.image;
  return reject(token, 'a version of 1 to 64 characters without spaces');
}

/** Reads a size such as `64MiB`; returns bytes. */
export function toSize(token: IToken): number {
  const value = scale(token.image, bytes);
  return value ?? reject(token, 'a size such as 512B, 64KiB, 64MiB or 1GiB');
}

/** Reads a percentage such as `99.9%`; returns a share from 0 to 1. */
export function toShare(token: IToken): number {
  const match = /^(\d{1,3}(?:\.\d{1,6})?)%$/.exec(token.image);
  const percent = Number(match?.[1] ?? NaN);
  if (percent <= 100) return Number((percent / 100).toFixed(8));
  return reject(token, 'a percentage from 0% to 100%, such as 99.9%');
}

/** Reads a path prefix. */
export function toPath(token: IToken): string {
  if (/^\/[!-~]*$/.test(token.image)) return token.image;
  return reject(token, 'a path that starts with /');
}

/**
 * Reads methods such as `GET,POST`; returns them sorted and without duplicates.
 */
export function toMethods(token: IToken): string[] {
  const methods = token.image.split(',');
  if (methods.every(method => /^[A-Z]{1,16}$/.test(method))) {
    return [...new Set(methods)].sort();
  }
  return reject(token, 'methods in capitals, such as GET,POST');
}

/** Reads a quota's rate in requests per second. */
export function toRate(token: IToken): number {
  const rate = toDecimal(token);
  if (rate !== undefined && rate > 0) return rate;
  return reject(token, 'a number of requests per second above 0, such as 50');
}

/** Reads a quota's burst in requests. */
export function toBurst(token: IToken): number {
  const burst = toDecimal(token);
  return burst ?? reject(token, 'a number of requests of at least 0');
}

/**
 * Reads keys separated by commas and returns their digests. Problems point at
 * the whole list and do not show it; see `masked-line.ts`.
 */
export function toKeyDigests(token: IToken): string[] {
  const {image} = token;
  const isQuoted = image.startsWith('"');
  const keys = (isQuoted ? image.slice(1, -1) : image).split(',');
  for (const [index, key] of keys.entries()) {
    if (isKey(key)) continue;
    return reject(
      token,
      'keys of 1 to 256 visible ASCII characters without spaces, ' +
        `separated by commas; key ${index + 1} of ${keys.length} differs`,
    );
  }
  if (new Set(keys).size < keys.length) reject(token, 'each key only once');
  return keys.map(digestOfKey).sort();
}

/** Reads one of `choices`. */
export function toChoice<T extends string>(
  token: IToken,
  choices: readonly T[],
): T {
  const choice = choices.find(each => each === token.image);
  return choice ?? reject(token, listChoices(choices));
}

/** Reads an IP address and port. */
export function toAddress(token: IToken): string {
  if (isAddress(token.image)) return token.image;
  return reject(token, 'an IP number and port, such as 127.0.0.1:7000');
}

/** Reads the id of a command, such as `amina/7`. */
export function toId(token: IToken): CommandId {
  const match = /^([a-z0-9][a-z0-9.-]{0,62})\/(\d+)$/.exec(token.image);
  const sequence = Number(match?.[2] ?? NaN);
  if (match === null || !Number.isSafeInteger(sequence) || sequence < 1) {
    return reject(token, 'OPERATOR/SEQUENCE, such as amina/7');
  }
  return {operator: match[1]!, sequence};
}

/** Joins choices as in an English sentence: `a, b or c`. */
export function listChoices(choices: readonly string[]): string {
  if (choices.length < 2) return choices.join('');
  return `${choices.slice(0, -1).join(', ')} or ${choices.at(-1)}`;
}

/** Undefined unless the word is a number without sign and exponent. */
function toDecimal(token: IToken): number | undefined {
  const isDecimal = /^\d{1,12}(\.\d{1,6})?$/.test(token.image);
  return isDecimal ? Number(token.image) : undefined;
}

function scale(
  image: string,
  units: Readonly<Record<string, number>>,
): number | undefined {
  const match = /^(\d{1,12})([a-zA-Z]+)$/.exec(image);
  const unit = units[match?.[2] ?? ''];
  if (match === null || unit === undefined) return undefined;
  return Number(match[1]) * unit;
}

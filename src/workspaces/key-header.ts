import {isKey} from './key-form.js';

/** Whitespace around the value of a field (RFC 9110, 5.6.3). */
const outerWhitespace = /^[ \t]+|[ \t]+$/g;

/**
 * Reads the key from the values of the `authorization` headers: one value, the
 * scheme in any case, one or more spaces and the key (RFC 9110, 11.4).
 * Undefined for none, several or malformed values.
 */
export function readKey(
  values: readonly string[],
  scheme: string,
): string | undefined {
  const [value] = values;
  if (value === undefined || values.length > 1) return undefined;
  const trimmed = value.replace(outerWhitespace, '');
  const schemeEnd = trimmed.indexOf(' ');
  if (schemeEnd !== scheme.length) return undefined;
  if (trimmed.slice(0, schemeEnd).toLowerCase() !== scheme.toLowerCase()) {
    return undefined;
  }
  const key = trimmed.slice(schemeEnd).replace(/^ +/, '');
  return isKey(key) ? key : undefined;
}

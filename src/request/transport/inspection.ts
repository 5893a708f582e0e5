/** Checks of a request's head beyond those of the parser. */
import type {IncomingMessage} from 'node:http';
import {findRepeatedHeader, headerNames} from './headers.js';

/**
 * Headers that may occur only once; of two, each hop might use a different one.
 */
const singleValued = [
  headerNames.key,
  headerNames.timeout,
  'host',
  'content-type',
];
const dotSegment = /(^|\/)(\.|%2e){1,2}(\/|$)/i;
const maxKeyLength = 256;

/** Describes the first fault of a request's head; undefined if it has none. */
export function findFault(request: IncomingMessage): string | undefined {
  const {url = '', rawHeaders, headers, httpVersion} = request;
  if (!url.startsWith('/')) return 'the path does not begin with a slash';
  const path = url.split('?', 1)[0]!;
  // The upstream might resolve them to a path outside the route's prefix.
  if (dotSegment.test(path)) return 'the path has dot segments';
  const repeatedHeader = findRepeatedHeader(rawHeaders, singleValued);
  if (repeatedHeader !== undefined) return `${repeatedHeader} occurs twice`;
  const encoding = headers['transfer-encoding'];
  if (encoding !== undefined && encoding.toLowerCase() !== 'chunked') {
    return 'the transfer encoding is not chunked';
  }
  if (encoding !== undefined && httpVersion === '1.0') {
    return 'HTTP/1.0 has no chunked bodies';
  }
  const key = headers[headerNames.key];
  if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
    return `${headerNames.key} is empty or over ${maxKeyLength} characters`;
  }
  const timeout = headers[headerNames.timeout];
  if (timeout !== undefined && !/^\d{1,9}$/.test(String(timeout))) {
    return `${headerNames.timeout} is not a whole number of milliseconds`;
  }
  return undefined;
}

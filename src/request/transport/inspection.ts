/** What a request must not hold, beyond what the parser already refuses. */
import type {IncomingMessage} from 'node:http';
import {findRepeatedHeader, headerNames} from './headers.js';

/** Headers that name one thing; given twice, hops could read different ones. */
const singleValued = [headerNames.key, headerNames.timeout, 'host', 'content-type'];
const dotSegment = /(^|\/)(\.|%2e){1,2}(\/|$)/i;
const maxKeyLength = 256;

/** The first fault of a request's head, as a message; undefined for none. */
export function findFault(request: IncomingMessage): string | undefined {
  const {url = '', rawHeaders, headers, httpVersion} = request;
  if (!url.startsWith('/')) return 'the path does not begin with a slash';
  const path = url.split('?', 1)[0]!;
  // The upstream may resolve them and so leave the route's prefix.
  if (dotSegment.test(path)) return 'the path has dot segments';
  const twice = findRepeatedHeader(rawHeaders, singleValued);
  if (twice !== undefined) return `${twice} occurs twice`;
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

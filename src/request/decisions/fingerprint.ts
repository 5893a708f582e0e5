import {createHash} from 'node:crypto';
import type {Call} from '../messages/call.js';

/**
 * Digest of the request for which an idempotency key is used. Of a streamed
 * body only the length is included, since it has not arrived when the key is
 * claimed.
 */
export function fingerprintOf(call: Call): string {
  const hash = createHash('sha256');
  hash.update(`${call.method}\n${call.path}\n`);
  const {body} = call;
  if (body.kind === 'whole') hash.update(body.bytes);
  if (body.kind === 'stream') hash.update(`stream ${body.length}`);
  return hash.digest('base64url');
}

/**
 * Digests that identify a request by caller, method, host, path and body. The
 * id, the idempotency key and the deadline are not included, since they differ
 * when the request is resent, and neither is the service, since the route may
 * change.
 */
import {createHash} from 'node:crypto';
import type {Suspect} from '../../quarantine/messages.js';
import type {Call} from '../messages/call.js';
import {hostOf} from '../messages/host.js';
import type {Upload} from '../messages/upload.js';
import {bufferLimit} from '../messages/upload.js';

/**
 * Hexadecimal digits of a digest: 128 bits, so that collisions can't be found.
 */
const digits = 32;

/** Cached digests of heads; entry and gate use each one several times. */
const headDigests = new WeakMap<Call, string>();

/** The digest of a request without its body. */
export function headDigest(call: Call): string {
  const cached = headDigests.get(call);
  if (cached !== undefined) return cached;
  const {caller, method, path} = call;
  const head = digestOf(JSON.stringify([caller, method, hostOf(call), path]));
  headDigests.set(call, head);
  return head;
}

/**
 * The digest of a request, from the digest of its head and its body. Of a large
 * body only the first part is used; undefined until it has arrived.
 */
export function requestDigest(head: string, body: Upload): string | undefined {
  const bytes = bytesOf(body);
  return bytes === undefined ? undefined : digestOf(head, bytes);
}

/**
 * The name by which a request is reported and quarantined; undefined until
 * enough of its body has arrived.
 */
export function requestName(call: Call): string | undefined {
  return requestDigest(headDigest(call), call.body);
}

/** Describes a request by method, host and path for operators. */
function describeRequest(call: Call): string {
  return `${call.method} ${hostOf(call)}${call.path}`.slice(
    0,
    maxDescriptionLength,
  );
}

/** Longer descriptions are truncated. */
const maxDescriptionLength = 120;

/** Converts calls to suspects of a crash, except for those without a name. */
export function suspectsOf(calls: readonly Call[]): Suspect[] {
  return calls.flatMap(call => {
    const head = headDigest(call);
    const name = requestDigest(head, call.body);
    if (name === undefined) return [];
    return [
      {name, head, service: call.service, request: describeRequest(call)},
    ];
  });
}

function bytesOf(body: Upload): Buffer | undefined {
  if (body.kind === 'none') return Buffer.alloc(0);
  if (body.kind === 'whole') return body.bytes;
  const {bytes, isWhole} = body.received();
  if (isWhole || bytes.length >= bufferLimit) return bytes;
  return undefined;
}

function digestOf(...parts: ReadonlyArray<string | Buffer>): string {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(part);
  return hash.digest('hex').slice(0, digits);
}

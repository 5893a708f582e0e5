/**
 * What makes two requests the same: caller, method, host, path and body. The
 * id, the idempotency key and the deadline differ each time one comes again,
 * and where its route leads may have changed.
 */
import {createHash} from 'node:crypto';
import type {Suspect} from '../../quarantine/messages.js';
import type {Call} from '../messages/call.js';
import {hostOf} from '../messages/host.js';
import type {Upload} from '../messages/upload.js';
import {bufferLimit} from '../messages/upload.js';

/** Hexadecimal digits of a digest: 128 bits, so that nobody finds another. */
const digits = 32;

/** Digests of heads; entry and gate ask for one several times a call. */
const heads = new WeakMap<Call, string>();

/** The digest of all but the body. */
export function headDigest(call: Call): string {
  const known = heads.get(call);
  if (known !== undefined) return known;
  const {caller, method, path} = call;
  const head = digestOf(JSON.stringify([caller, method, hostOf(call), path]));
  heads.set(call, head);
  return head;
}

/**
 * The digest of a whole request, given that of its head. A large body counts
 * by its first part; undefined while that has not arrived.
 */
export function requestDigest(head: string, body: Upload): string | undefined {
  const bytes = bytesOf(body);
  return bytes === undefined ? undefined : digestOf(head, bytes);
}

/** The name of a request in all evidence; undefined where its body can't be told. */
export function requestName(call: Call): string | undefined {
  return requestDigest(headDigest(call), call.body);
}

/** Method, host and path, for people; long ones are cut. */
function describeRequest(call: Call): string {
  return `${call.method} ${hostOf(call)}${call.path}`.slice(0, longestText);
}

const longestText = 120;

/** The calls as suspects of a crash; one whose body can't be told is left out. */
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

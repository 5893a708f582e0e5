import {createHash} from 'node:crypto';

/**
 * Bytes kept of a SHA-256 value: 128 bits make a collision within one
 * deployment improbable, with half the bytes on the wire.
 */
const digestBytes = 16;

/** Returns the digest of a packed section. */
export function digestBytesOf(bytes: Uint8Array): string {
  const hash = createHash('sha256').update(bytes).digest();
  return hash.subarray(0, digestBytes).toString('base64url');
}

/** Returns the digest of a state from the names and digests of its sections. */
export function digestState(sections: Iterable<[string, string]>): string {
  const lines = [...sections].map(([name, digest]) => `${name} ${digest}\n`);
  const hash = createHash('sha256').update(lines.sort().join('')).digest();
  return hash.subarray(0, digestBytes).toString('base64url');
}

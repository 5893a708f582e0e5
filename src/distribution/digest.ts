import {createHash} from 'node:crypto';

/**
 * Bytes kept of a SHA-256 value: 128 bits, so that no two states of one
 * deployment meet by chance, at half the bytes on the wire.
 */
const digestBytes = 16;

/** Digest of one packed section. */
export function digestBytesOf(bytes: Uint8Array): string {
  const hash = createHash('sha256').update(bytes).digest();
  return hash.subarray(0, digestBytes).toString('base64url');
}

/** Digest of a state, from the digests of its sections by service. */
export function digestState(sections: Iterable<[string, string]>): string {
  const lines = [...sections].map(([name, digest]) => `${name} ${digest}\n`);
  const hash = createHash('sha256').update(lines.sort().join('')).digest();
  return hash.subarray(0, digestBytes).toString('base64url');
}

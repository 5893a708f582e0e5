import {createHash} from 'node:crypto';

/**
 * The digest of a workspace's key, SHA-256 in base64url. Only digests are
 * stored and compared: a leaked snapshot or log holds no key, and the time of a
 * comparison says nothing about how far a wrong key agrees with a right one.
 */
export function digestOfKey(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}

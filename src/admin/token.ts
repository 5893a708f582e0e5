import {createHash, timingSafeEqual} from 'node:crypto';

/** Checks whether an `authorization` header has the token. */
export type Guard = (header: string | undefined) => boolean;

/**
 * Creates the guard for state-changing requests; without a token it refuses all
 * of them. A plain string comparison ends at the first wrong character, so its
 * duration would reveal how much of a guessed token is right. Therefore digests
 * of equal length are compared in constant time.
 */
export function createGuard(token: string | undefined): Guard {
  const expected = digest(`Bearer ${token ?? ''}`);
  const hasToken = token !== undefined && token !== '';
  return header => {
    const isEqual = timingSafeEqual(digest(header ?? ''), expected);
    return isEqual && hasToken;
  };
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

import {Claims} from '../../claims/claims.js';
import type {
  Acquisition,
  Claim,
  ClaimRequest,
  StoredAnswer,
} from '../../claims/claims.js';
import {requestCodes} from '../messages/codes.js';

type ClaimState = 'running' | 'abandoned' | StoredAnswer;

/**
 * Creates claims that are stored in memory. With `isStored: false` each claim
 * is granted, which shows the effect of missing claims.
 */
export function createFakeClaims(isStored = true): Claims {
  const held = new Map<string, ClaimState>();

  function claimOf(key: string): Claim {
    return {
      release: () => void held.delete(key),
      complete: answer => void held.set(key, answer),
      abandon: () => void held.set(key, 'abandoned'),
    };
  }

  return new (class extends Claims {
    async acquire({key}: ClaimRequest): Promise<Acquisition> {
      const previous = isStored ? held.get(key) : undefined;
      if (previous === undefined) {
        held.set(key, 'running');
        return {kind: 'granted', claim: claimOf(key)};
      }
      if (previous === 'running' || previous === 'abandoned') {
        const code = requestCodes.upstreamLost;
        return {kind: 'refused', code, message: previous, retryAfter: 1};
      }
      return {kind: 'answered', answer: previous};
    }
  })();
}

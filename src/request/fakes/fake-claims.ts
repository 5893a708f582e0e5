import {Claims} from '../../claims/claims.js';
import type {
  Acquisition,
  Claim,
  ClaimRequest,
  StoredAnswer,
} from '../../claims/claims.js';
import {requestCodes} from '../messages/codes.js';

type ClaimState = 'running' | 'abandoned' | StoredAnswer;

/** Claims kept in memory; `remembers: false` shows what happens without them. */
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
      const before = isStored ? held.get(key) : undefined;
      if (before === undefined) {
        held.set(key, 'running');
        return {kind: 'granted', claim: claimOf(key)};
      }
      if (before === 'running' || before === 'abandoned') {
        const code = requestCodes.upstreamLost;
        return {kind: 'refused', code, message: before, retryAfter: 1};
      }
      return {kind: 'answered', answer: before};
    }
  })();
}

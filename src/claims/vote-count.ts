import type {Vote} from './messages.js';

/** What one keeper answered, or why it did not. */
export type Ballot = Vote | {readonly kind: 'unreachable'};

/**
 * What a gate makes of the votes so far.
 * - `pending`: votes that can still decide it are missing.
 * - `won`: a majority granted it.
 * - `found`: another request with the key decides it.
 * - `wait`: another claim has the key and may still be at work.
 * - `unknown`: another claim has the key and its gate is past its deadline.
 * - `stale`: the keepers are between two epochs, or the gate is behind.
 * - `lost`, `full`, `unavailable`: too few keepers can vote.
 */
export type VoteOutcome =
  | {readonly kind: 'pending' | 'won' | 'wait' | 'unknown' | 'stale'}
  | {readonly kind: 'full' | 'unavailable'}
  | {readonly kind: 'lost'; readonly left: number}
  | {readonly kind: 'found'; readonly vote: Vote};

/** Keepers that must grant a claim; two such sets always share one keeper. */
export function majorityOf(keepers: number): number {
  return Math.floor(keepers / 2) + 1;
}

/** Judges the votes; an undefined one has not come yet. */
export function countVotes(
  ballots: ReadonlyArray<Ballot | undefined>,
  majority = majorityOf(ballots.length),
): VoteOutcome {
  const found = ballots.find(isDecisive);
  if (found !== undefined) return {kind: 'found', vote: found as Vote};
  const count = (kind: Ballot['kind']) =>
    ballots.filter(ballot => ballot?.kind === kind).length;
  const granted = count('granted');
  if (granted >= majority) return {kind: 'won'};
  const missing = ballots.filter(ballot => ballot === undefined).length;
  if (granted + missing >= majority) return {kind: 'pending'};
  if (count('held') > 0) return {kind: 'wait'};
  if (count('expired') > 0) return {kind: 'unknown'};
  for (const ballot of ballots) {
    if (ballot?.kind === 'quarantined')
      return {kind: 'lost', left: ballot.left};
  }
  if (count('full') > 0) return {kind: 'full'};
  if (count('stale') > 0) return {kind: 'stale'};
  // The keeper that is still to answer may know of a newer set.
  return {kind: missing > 0 ? 'pending' : 'unavailable'};
}

/** Only the gate that ran a claim settles it, so one keeper's word is enough. */
function isDecisive(ballot: Ballot | undefined): boolean {
  switch (ballot?.kind) {
    case 'answered':
    case 'abandoned':
    case 'key-reused':
      return true;
    default:
      return false;
  }
}

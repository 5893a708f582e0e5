/** Counts the votes of keepers on a claim. */
import type {Vote} from './messages.js';

/** One keeper's vote, or the fact that the keeper is unreachable. */
export type Ballot = Vote | {readonly kind: 'unreachable'};

/**
 * The outcome of the votes so far.
 * - `pending`: votes are missing that can still decide.
 * - `won`: a majority granted the claim.
 * - `found`: an earlier request with the key decides.
 * - `wait`: another claim holds the key and may still be running.
 * - `unknown`: another claim holds the key and has expired.
 * - `stale`: the keepers are between two epochs, or the gate has an old set.
 * - `lost`, `full`, `unavailable`: too few keepers can vote.
 */
export type VoteOutcome =
  | {readonly kind: 'pending' | 'won' | 'wait' | 'unknown' | 'stale'}
  | {readonly kind: 'full' | 'unavailable'}
  | {readonly kind: 'lost'; readonly left: number}
  | {readonly kind: 'found'; readonly vote: Vote};

/** Number of keepers that must grant a claim; two majorities share a keeper. */
export function majorityOf(keepers: number): number {
  return Math.floor(keepers / 2) + 1;
}

/** Evaluates the votes; an undefined one has not arrived yet. */
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
  // A keeper whose vote is missing may know a newer set.
  return {kind: missing > 0 ? 'pending' : 'unavailable'};
}

/**
 * Only the gate that ran a claim settles it, so the vote of one keeper is
 * enough.
 */
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

/** Messages between gates, keepers and, while keepers change, other keepers. */
import type {KeeperAssignment} from '../configuration/configuration.js';
import type {StoredAnswer} from './claims.js';

/** How a claim ended. */
export type Settlement =
  | {readonly kind: 'answered'; readonly answer?: StoredAnswer}
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'released'};

/** A gate asks for a vote on its claim. */
export interface Acquire {
  readonly kind: 'acquire';
  readonly service: string;
  readonly epoch: number;
  readonly key: string;
  readonly fingerprint: string;
  /** The claim's own name, never used twice. */
  readonly claim: string;
  /** Milliseconds after which its gate is past its deadline. */
  readonly lease: number;
}

/** A gate tells how its claim ended. */
export interface Settle {
  readonly kind: 'settle';
  readonly service: string;
  readonly key: string;
  readonly fingerprint: string;
  readonly claim: string;
  readonly settlement: Settlement;
}

/** A keeper of a later epoch ends an epoch and asks for its claims. */
export interface Seal {
  readonly kind: 'seal';
  readonly service: string;
  readonly epoch: number;
  /** The set that follows, in case it has not come here yet. */
  readonly successor: KeeperAssignment;
}

/** The leader asks how far a keeper is, before it names another set. */
export interface Inquire {
  readonly kind: 'inquire';
  readonly service: string;
}

/** What is asked of a keeper. */
export type Question = Acquire | Settle | Seal | Inquire;

/** A question on its way. */
export interface Envelope {
  readonly id: number;
  /** The keeper's life that is meant; another life must not answer for it. */
  readonly incarnation: number;
  readonly question: Question;
}

/**
 * A keeper's word on a claim.
 * - `granted`: the key is this claim's, as far as the keeper goes.
 * - `held`: another claim has it and its gate may still be at work.
 * - `expired`: another claim has it and its gate's deadline passed.
 * - `answered`, `abandoned`: another claim ran and ended so.
 * - `key-reused`: the key stands for another request.
 * - `stale`: the keeper is not active in the epoch asked for; `newer` is the
 *   set that it knows, for a gate that is behind.
 * - `quarantined`: it waits until lost claims are past their retention.
 * - `full`: it can't hold more claims.
 */
export type Vote =
  | {readonly kind: 'granted'}
  | {readonly kind: 'held'}
  | {readonly kind: 'expired'}
  | {readonly kind: 'answered'; readonly answer?: StoredAnswer}
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'key-reused'}
  | {readonly kind: 'stale'; readonly newer?: KeeperAssignment}
  | {readonly kind: 'quarantined'; readonly left: number}
  | {readonly kind: 'full'};

/** Tells a waiting gate that the claim it found is settled or expired. */
export interface Notice {
  readonly kind: 'notice';
  readonly settlement: Settlement | {readonly kind: 'expired'};
}

/** One key's claims, as keepers copy them to each other. */
export interface ClaimRecord {
  readonly key: string;
  readonly holders: readonly HolderRecord[];
  readonly settled?: SettledRecord;
  /** Milliseconds since the retention time began. */
  readonly age: number;
}

/** A claim that has the key and is not settled. */
export interface HolderRecord {
  readonly claim: string;
  readonly fingerprint: string;
  /** Milliseconds left until its gate is past its deadline. */
  readonly lease: number;
}

/** How a claim that ran ended. */
export interface SettledRecord {
  readonly kind: 'answered' | 'abandoned';
  readonly fingerprint: string;
  readonly answer?: StoredAnswer;
}

/** One page of a sealed epoch's claims; more follow until `last`. */
export interface SealedPage {
  readonly kind: 'sealed';
  /** Whether the keeper held claims in that epoch or a later one. */
  readonly active: boolean;
  /** Milliseconds of quarantine left. */
  readonly quarantine: number;
  readonly records: readonly ClaimRecord[];
  readonly last: boolean;
}

/** How far a keeper is with a service. */
export interface KeeperStatus {
  readonly kind: 'standing';
  readonly epoch: number;
  readonly active: boolean;
}

/** What comes back from a keeper; `stranger`: another life is at the address. */
export type Reply =
  | Vote
  | Notice
  | SealedPage
  | KeeperStatus
  | {readonly kind: 'settled'}
  | {readonly kind: 'stranger'};

/** A reply on its way. */
export interface ReplyEnvelope {
  readonly id: number;
  readonly reply: Reply;
}

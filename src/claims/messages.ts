/**
 * Messages between gates and keepers and, while a keeper set changes, between
 * keepers.
 */
import type {KeeperAssignment} from '../configuration/configuration.js';
import type {StoredAnswer} from './claims.js';

/** How a claim ended. */
export type Settlement =
  | {readonly kind: 'answered'; readonly answer?: StoredAnswer}
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'released'};

/** Request of a gate for a vote on its claim. */
export interface Acquire {
  readonly kind: 'acquire';
  readonly service: string;
  readonly epoch: number;
  readonly key: string;
  readonly fingerprint: string;
  /** Unique id of the claim. */
  readonly claim: string;
  /** Milliseconds until the claim expires. */
  readonly lease: number;
}

/** Report of a gate on how its claim ended. */
export interface Settle {
  readonly kind: 'settle';
  readonly service: string;
  readonly key: string;
  readonly fingerprint: string;
  readonly claim: string;
  readonly settlement: Settlement;
}

/** Request of a keeper of a later epoch to end an epoch and send its claims. */
export interface Seal {
  readonly kind: 'seal';
  readonly service: string;
  readonly epoch: number;
  /** The set of the next epoch, in case the receiver does not know it yet. */
  readonly successor: KeeperAssignment;
}

/**
 * Request of the leader for a keeper's status, before it assigns another set.
 */
export interface Inquire {
  readonly kind: 'inquire';
  readonly service: string;
}

/** A message to a keeper. */
export type Question = Acquire | Settle | Seal | Inquire;

/** A question as it is sent. */
export interface Envelope {
  readonly id: number;
  /** Incarnation of the addressed keeper; another one must not answer. */
  readonly incarnation: number;
  readonly question: Question;
}

/**
 * A keeper's vote on a claim.
 * - `granted`: this keeper assigns the key to the claim.
 * - `held`: another claim holds the key and its gate may still be running it.
 * - `expired`: another claim holds the key and its lease has ended.
 * - `answered`, `abandoned`: another claim with the key ended in this way.
 * - `key-reused`: the key was used for another request.
 * - `stale`: the keeper is not active in the requested epoch; `newer` is the
 *   set that it knows, for a gate with an older one.
 * - `quarantined`: the keeper waits until lost claims are past their retention;
 *   `left` is the remaining time in milliseconds.
 * - `full`: the keeper can't hold more claims.
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

/**
 * Notifies a waiting gate that the claim with its key is settled or expired.
 */
export interface Notice {
  readonly kind: 'notice';
  readonly settlement: Settlement | {readonly kind: 'expired'};
}

/** The claims of one key, as they are copied between keepers. */
export interface ClaimRecord {
  readonly key: string;
  readonly holders: readonly HolderRecord[];
  readonly settled?: SettledRecord;
  /** Milliseconds since the start of the retention time. */
  readonly age: number;
}

/** A claim that holds the key and is not settled. */
export interface HolderRecord {
  readonly claim: string;
  readonly fingerprint: string;
  /** Milliseconds until the claim expires. */
  readonly lease: number;
}

/** The end of a claim whose run may have begun. */
export interface SettledRecord {
  readonly kind: 'answered' | 'abandoned';
  readonly fingerprint: string;
  readonly answer?: StoredAnswer;
}

/** One page of the claims of a sealed epoch; `last` marks the last page. */
export interface SealedPage {
  readonly kind: 'sealed';
  /** Whether the keeper was active in that epoch or a later one. */
  readonly active: boolean;
  /** Remaining quarantine in milliseconds. */
  readonly quarantine: number;
  readonly records: readonly ClaimRecord[];
  readonly last: boolean;
}

/** Status of a keeper for one service. */
export interface KeeperStatus {
  readonly kind: 'standing';
  readonly epoch: number;
  readonly active: boolean;
}

/** A message of a keeper; `stranger`: another incarnation has the address. */
export type Reply =
  | Vote
  | Notice
  | SealedPage
  | KeeperStatus
  | {readonly kind: 'settled'}
  | {readonly kind: 'stranger'};

/** A reply as it is sent. */
export interface ReplyEnvelope {
  readonly id: number;
  readonly reply: Reply;
}

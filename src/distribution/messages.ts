import type {
  Drain,
  Policy,
  Quarantine,
  Route,
  Service,
} from '../configuration/configuration.js';

/**
 * The messages of the configuration plane, and the unit that they carry. A
 * version is the log index of the last change; times are in milliseconds.
 */

/** A service with the items that speak of it, or a part of these. */
export interface Section {
  readonly service: Service;
  readonly routes: readonly Route[];
  readonly policies: readonly Policy[];
  readonly drains: readonly Drain[];
  /** Absent where there are none. */
  readonly quarantines?: readonly Quarantine[];
}

/** A section as it travels: packed once by the source, never packed again. */
export interface PackedSection {
  /** See `section-name.ts`. */
  readonly name: string;
  /** A `Section` in MessagePack, keys and items in order, deflated when large. */
  readonly bytes: Uint8Array;
}

/** The services whose sections a subscriber wants. */
export type Interest = 'all' | readonly string[];

/** Asks for a state and for each later one. */
export interface Subscribe {
  readonly kind: 'subscribe';
  /** Rises with each interest of one subscriber; answers carry it back. */
  readonly subscription: number;
  readonly services: Interest;
  /** The version held; absent when nothing is. */
  readonly version?: number;
  /** Digest of what is held of `services`. */
  readonly digest?: string;
  /** Whether all of `services` is held, as of `version`. */
  readonly complete: boolean;
  /** Set by a subscriber that may not serve before its state is proved fresh. */
  readonly nonce?: string;
}

/** The digest of one section, by its name. */
export interface SectionDigest {
  readonly name: string;
  readonly digest: string;
}

/** Tells what is held section by section, to get only what differs. */
export interface Compare {
  readonly kind: 'compare';
  readonly subscription: number;
  readonly version: number;
  /** Digest of each section held. */
  readonly digests: readonly SectionDigest[];
}

/** Asks for a proof that the state sent is as new as any accepted so far. */
export interface Prove {
  readonly kind: 'prove';
  readonly nonce: string;
}

/** What a subscriber sends to its distributor. */
export type Request = Subscribe | Compare | Prove;

/** One atomic step to a newer state: delta, differing sections or snapshot. */
export interface Push {
  readonly kind: 'push';
  readonly subscription: number;
  readonly version: number;
  /** Absent when no section of the subscription changed. */
  readonly sections?: readonly PackedSection[];
  readonly removed?: readonly string[];
  /** True when `sections` is the whole state and replaces what was held. */
  readonly whole?: boolean;
  /** Digest of the resulting state; absent when no section changed. */
  readonly digest?: string;
  /** In place of a digest, the version whose sections are still the same. */
  readonly base?: number;
}

/** Asks the subscriber for a `Compare`. */
export interface ComparisonRequest {
  readonly kind: 'differ';
  readonly subscription: number;
}

/** Tells a subscriber to ask again, since syncs are admitted at a bounded rate. */
export interface Postponement {
  readonly kind: 'later';
  readonly subscription: number;
  /** Milliseconds to wait, jitter included. */
  readonly after: number;
}

/** Answers a nonce: a quorum confirmed `version` after the nonce was made. */
export interface Proof {
  readonly kind: 'proof';
  readonly nonce: string;
  readonly version: number;
}

/** Tells that no quorum answered for a nonce. */
export interface Unproved {
  readonly kind: 'unproved';
  readonly nonce: string;
}

/** What a distributor sends to a subscriber. */
export type Response = Push | ComparisonRequest | Postponement | Proof | Unproved;

import type {
  Drain,
  Policy,
  Quarantine,
  Rollout,
  Route,
  Service,
  Workspace,
} from '../configuration/configuration.js';

/**
 * The messages of the configuration plane and the unit that they carry. A
 * version is the log index of the last change; times are in milliseconds.
 */

/** A service with the items that belong to it, or one part of these. */
export interface Section {
  readonly service: Service;
  readonly routes: readonly Route[];
  readonly policies: readonly Policy[];
  readonly drains: readonly Drain[];
  /** Absent if there are none. */
  readonly quarantines?: readonly Quarantine[];
  /** Which versions of the service get requests; absent for all. */
  readonly rollout?: Rollout;
  /** Absent in the sections of services; see `section-name.ts`. */
  readonly workspaces?: readonly Workspace[];
}

/**
 * A section in wire format; the source packs it once, and relays forward the
 * same bytes.
 */
export interface PackedSection {
  /** See `section-name.ts`. */
  readonly name: string;
  /**
   * A `Section` in MessagePack with sorted keys and items, deflated when large.
   */
  readonly bytes: Uint8Array;
}

/** The services whose sections a subscriber receives. */
export type Interest = 'all' | readonly string[];

/** Requests a state and all later ones. */
export interface Subscribe {
  readonly kind: 'subscribe';
  /**
   * Increases whenever the subscriber changes its interest; responses repeat
   * it.
   */
  readonly subscription: number;
  readonly services: Interest;
  /** The version held; absent if none. */
  readonly version?: number;
  /** Digest of the held sections of `services`. */
  readonly digest?: string;
  /** Whether the held sections are all of `services`, as of `version`. */
  readonly complete: boolean;
  /**
   * Set by a subscriber that must not serve before its state is proved fresh.
   */
  readonly nonce?: string;
}

/** The name and digest of one section. */
export interface SectionDigest {
  readonly name: string;
  readonly digest: string;
}

/**
 * Lists the digests of all held sections, so that only differing ones are sent.
 */
export interface Compare {
  readonly kind: 'compare';
  readonly subscription: number;
  readonly version: number;
  /** Digest of each held section. */
  readonly digests: readonly SectionDigest[];
}

/** Requests a proof that the sent state is as new as any accepted so far. */
export interface Prove {
  readonly kind: 'prove';
  readonly nonce: string;
}

/** Messages from a subscriber to its distributor. */
export type Request = Subscribe | Compare | Prove;

/**
 * One atomic transition to a newer state: a delta, the differing sections or a
 * snapshot.
 */
export interface Push {
  readonly kind: 'push';
  readonly subscription: number;
  readonly version: number;
  /** Absent if no section of the subscription changed. */
  readonly sections?: readonly PackedSection[];
  readonly removed?: readonly string[];
  /** True if `sections` is the whole state and replaces everything held. */
  readonly whole?: boolean;
  /** Digest of the resulting state; absent if no section changed. */
  readonly digest?: string;
  /** Replaces the digest: the version whose sections are unchanged. */
  readonly base?: number;
}

/** Requests a `Compare` from the subscriber. */
export interface ComparisonRequest {
  readonly kind: 'differ';
  readonly subscription: number;
}

/**
 * Instructs a subscriber to repeat its request later, since synchronizations
 * are admitted at a bounded rate.
 */
export interface Postponement {
  readonly kind: 'later';
  readonly subscription: number;
  /** Milliseconds to wait, including jitter. */
  readonly after: number;
}

/**
 * Answers a nonce: a quorum confirmed `version` after the nonce was created.
 */
export interface Proof {
  readonly kind: 'proof';
  readonly nonce: string;
  readonly version: number;
}

/** Reports that no quorum confirmed the state for a nonce. */
export interface Unproved {
  readonly kind: 'unproved';
  readonly nonce: string;
}

/** Messages from a distributor to a subscriber. */
export type Response =
  Push | ComparisonRequest | Postponement | Proof | Unproved;

import type {Address} from '../link/link.js';
import type {Digest} from './digest.js';

/** One incarnation of a node that can hold claims; see src/claims. */
export interface KeeperEndpoint {
  /** Where it receives keeper messages. */
  readonly address: Address;
  /** Differs at each start of the node's process; claims are kept in its memory. */
  readonly incarnation: number;
}

/** The lifecycle state of an instance. */
export type InstanceState = 'warming' | 'serving' | 'draining' | 'gone';

/**
 * The state of an instance as published by its node. Of two announcements of one
 * instance the greater (incarnation, sequence) is newer, in whatever order they
 * arrive.
 */
export interface Announcement {
  readonly instance: string;
  readonly service: string;
  /**
   * Increases at each start of the instance: milliseconds since the epoch at the
   * start, or one more than the last that a home has if that is greater.
   */
  readonly incarnation: number;
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number;
  readonly state: InstanceState;
  /** Where its gate receives requests from other nodes. */
  readonly gate: Address;
  readonly failureDomain: string;
  readonly region: string;
  /** Version of the upstream's software; absent if it is not announced. */
  readonly version?: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Maximum number of open connections. */
  readonly connections: number;
  /**
   * When it started to warm up, in milliseconds since the epoch by the clock of
   * the process that has this object. In messages it is an age instead; see
   * `since-conversion.ts`.
   */
  readonly since: number;
  /** Absent when its node cannot hold claims. */
  readonly keeper?: KeeperEndpoint;
}

/** An announcement as a home forwards it to nodes. */
export interface KnownInstance extends Announcement {
  /**
   * True when its lease expired together with too many others, so that lost
   * renewals are a likelier cause than a crash. The instance stays in the table,
   * and each node decides by its own connections whether to use it.
   */
  readonly suspect?: boolean;
}

/** The instances in a node's or home's table. */
export interface EndpointView {
  /** Instances of a service that are not gone, in a stable order. */
  instances(service: string): readonly KnownInstance[];
  /** Calls `observe` after each change of a service's instances. */
  onChange(observe: (service: string) => void): void;
}

/** The record of one instance that homes replicate to each other. */
export interface EndpointRecord {
  readonly announcement: Announcement;
  /** The home that holds or last held the instance's lease. */
  readonly home: string;
  readonly homeRegion: string;
  /** True when a home declared it gone because its lease expired. */
  readonly expired: boolean;
  /** Milliseconds since it became gone, by the sender's clock. */
  readonly goneFor: number;
}

/** A service with the digest of its instances in the sender's table. */
export interface ServiceDigest {
  readonly service: string;
  readonly digest: Digest;
}

/** Messages from a node to its home. */
export type NodeMessage =
  | {readonly kind: 'announce'; readonly announcement: Announcement}
  /** Renews the lease, if there is one, and requests the home's digest. */
  | {
      readonly kind: 'renew';
      readonly instance?: string;
      readonly incarnation?: number;
      readonly sequence?: number;
    }
  /** Sets the subscribed services; the home answers with sections that differ. */
  | {
      readonly kind: 'subscribe';
      readonly all: boolean;
      readonly services: readonly ServiceDigest[];
    }
  /** Reports that the node's connections to this instance fail. */
  | {
      readonly kind: 'unreachable';
      readonly instance: string;
      readonly incarnation: number;
    };

/** Messages from a home to one of its nodes. */
export type HomeMessage =
  /** The home has a newer announcement of the same instance. */
  | {readonly kind: 'refuted'; readonly known: Announcement}
  /** The home does not have the instance that was renewed. */
  | {readonly kind: 'announce-again'}
  /** Answers `renew` with the digest of all subscribed services. */
  | {
      readonly kind: 'renewed';
      readonly complete: boolean;
      readonly digest: Digest;
    }
  /**
   * All instances of one service, including tombstones. An instance that is
   * absent is unknown to the home, which is weaker evidence than a tombstone.
   */
  | {
      readonly kind: 'section';
      readonly service: string;
      readonly complete: boolean;
      readonly instances: readonly KnownInstance[];
    }
  /** Instances that changed, including gone ones. */
  | {readonly kind: 'delta'; readonly instances: readonly KnownInstance[]};

/** The version of one record, exchanged when homes compare tables. */
export interface RecordSummary {
  readonly instance: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly gone: boolean;
}

/** Messages between homes. */
export type PeerMessage =
  | {readonly kind: 'records'; readonly records: readonly EndpointRecord[]}
  /** The digest of the whole table; also serves as a heartbeat. */
  | {
      readonly kind: 'root';
      readonly name: string;
      readonly digest: Digest;
      /** Homes to which the sender has no link. */
      readonly missing: readonly string[];
      /** Of the receiver's `missing` homes, those that the sender is linked to. */
      readonly linked: readonly string[];
    }
  /** Digests of all buckets, alternating low and high parts. */
  | {readonly kind: 'buckets'; readonly digests: readonly number[]}
  /** All record versions that the sender has in the buckets that differ. */
  | {
      readonly kind: 'summary';
      readonly buckets: readonly number[];
      readonly entries: readonly RecordSummary[];
    }
  /** Requests the records of these instances. */
  | {readonly kind: 'wanted'; readonly instances: readonly string[]}
  /** Another process announces the instance's id or gate. */
  | {readonly kind: 'contest'; readonly instance: string}
  /** A node of the sender cannot reach an instance leased from the receiver. */
  | {
      readonly kind: 'unreachable';
      readonly instance: string;
      readonly incarnation: number;
      readonly witness: string;
    };

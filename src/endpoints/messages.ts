import type {Address} from '../link/link.js';
import type {Digest} from './digest.js';

/** One life of a node that can hold claims; see src/claims. */
export interface KeeperEndpoint {
  /** Where it takes keeper messages. */
  readonly address: Address;
  /** Differs at each start of the node's process, whose memory it names. */
  readonly incarnation: number;
}

/** Where an instance is in its life. */
export type InstanceState = 'warming' | 'serving' | 'draining' | 'gone';

/**
 * What an instance's node says of it. The order (incarnation, sequence)
 * decides between two announcements of one instance, whatever way they came.
 */
export interface Announcement {
  readonly instance: string;
  readonly service: string;
  /**
   * Rises at each start of the instance: milliseconds since the epoch at the
   * start, or one above the last that a home knows when that is greater.
   */
  readonly incarnation: number;
  /** Rises with each announcement of one incarnation. */
  readonly sequence: number;
  readonly state: InstanceState;
  /** Where its gate takes requests from other nodes. */
  readonly gate: Address;
  readonly failureDomain: string;
  readonly region: string;
  /** Requests that may run at once. */
  readonly slots: number;
  /** Connections that may be open at once. */
  readonly connections: number;
  /**
   * When it began to warm, in milliseconds since the epoch by the clock of
   * the process that holds this. On the wire it is an age; see `transit.ts`.
   */
  readonly since: number;
  /** Absent when its node holds no claims. */
  readonly keeper?: KeeperEndpoint;
}

/** An announcement as a home passes it on to nodes. */
export interface KnownInstance extends Announcement {
  /**
   * True when its lease ran out together with too many others to be believed.
   * It is kept, and a node's own connections decide whether to use it.
   */
  readonly suspect?: boolean;
}

/** The instances that a node knows, kept current by its home. */
export interface EndpointView {
  /** Instances of a service that are not gone, in a stable order. */
  instances(service: string): readonly KnownInstance[];
  /** Calls `observe` after each change of a service's instances. */
  onChange(observe: (service: string) => void): void;
}

/** What a home keeps of one instance and shares with other homes. */
export interface EndpointRecord {
  readonly announcement: Announcement;
  /** The home that holds or last held the instance's lease. */
  readonly home: string;
  readonly homeRegion: string;
  /** True when a home declared it gone because its lease ran out. */
  readonly expired: boolean;
  /** Milliseconds since it was declared gone, as the sender counts them. */
  readonly goneFor: number;
}

/** A service with the digest of the instances that the sender knows of it. */
export interface ServiceDigest {
  readonly service: string;
  readonly digest: Digest;
}

/** Messages from a node to its home. */
export type NodeMessage =
  | {readonly kind: 'announce'; readonly announcement: Announcement}
  /** Renews the lease, where there is one, and asks for the home's digest. */
  | {
      readonly kind: 'renew';
      readonly instance?: string;
      readonly incarnation?: number;
      readonly sequence?: number;
    }
  /** Sets the services wanted; sections that differ are sent in answer. */
  | {
      readonly kind: 'subscribe';
      readonly all: boolean;
      readonly services: readonly ServiceDigest[];
    }
  /** The node's connections to this instance fail. */
  | {
      readonly kind: 'unreachable';
      readonly instance: string;
      readonly incarnation: number;
    };

/** Messages from a home to one of its nodes. */
export type HomeMessage =
  /** A newer announcement of the same instance is known. */
  | {readonly kind: 'refuted'; readonly known: Announcement}
  /** The home does not hold the instance that was renewed. */
  | {readonly kind: 'announce-again'}
  /** Answers `renew` with the digest of all services subscribed to. */
  | {
      readonly kind: 'renewed';
      readonly complete: boolean;
      readonly digest: Digest;
    }
  /**
   * All instances of one service, those remembered as gone included: what is
   * absent is unknown to the home, which proves less than a tombstone.
   */
  | {
      readonly kind: 'section';
      readonly service: string;
      readonly complete: boolean;
      readonly instances: readonly KnownInstance[];
    }
  /** Instances that changed, gone ones included. */
  | {readonly kind: 'delta'; readonly instances: readonly KnownInstance[]};

/** What a home says of one record when it compares tables. */
export interface RecordSummary {
  readonly instance: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly gone: boolean;
}

/** Messages between homes. */
export type PeerMessage =
  | {readonly kind: 'records'; readonly records: readonly EndpointRecord[]}
  /** The digest of the whole table; also says that the home is alive. */
  | {
      readonly kind: 'root';
      readonly name: string;
      readonly digest: Digest;
      /** Homes that the sender has no link to. */
      readonly missing: readonly string[];
      /** Of the homes that the receiver misses, those linked to the sender. */
      readonly linked: readonly string[];
    }
  /** Digests of all buckets: low and high parts in turn. */
  | {readonly kind: 'buckets'; readonly digests: readonly number[]}
  /** All that the sender has in the buckets that differ. */
  | {
      readonly kind: 'summary';
      readonly buckets: readonly number[];
      readonly entries: readonly RecordSummary[];
    }
  | {readonly kind: 'wanted'; readonly instances: readonly string[]}
  /** Another process claims the instance's id or gate. */
  | {readonly kind: 'contest'; readonly instance: string}
  /** A node of the sender cannot reach an instance that the receiver holds. */
  | {
      readonly kind: 'unreachable';
      readonly instance: string;
      readonly incarnation: number;
      readonly witness: string;
    };

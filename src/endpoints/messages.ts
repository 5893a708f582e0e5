import type {Address} from '../link/link.js';

/** Where an instance is in its life. */
export type InstanceState = 'warming' | 'serving' | 'draining' | 'gone';

/**
 * What an instance's node says of it. The order (incarnation, sequence)
 * decides between two announcements of one instance, whatever way they came.
 */
export interface Announcement {
  readonly instance: string;
  readonly service: string;
  /** Rises at each start of the node; milliseconds since the epoch at start. */
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
  /** Milliseconds since the epoch when it began to warm. */
  readonly since: number;
}

/** The instances that a node knows, kept current by distribution. */
export interface EndpointView {
  /** Instances of a service that are not gone, in a stable order. */
  instances(service: string): readonly Announcement[];
  /** Calls `observe` after each change of a service's instances. */
  onChange(observe: (service: string) => void): void;
}

import type {Address} from '../../src/link/link.js';

/** Messages between the endpoints bench and the processes that it starts. */

/** How a home is built. */
export type HomeKind = 'registry' | 'naive';

/** Instances that a home of the bench makes up, without processes or links. */
export interface Crowd {
  readonly instances: number;
  readonly services: number;
  /** Number of the first instance; 0 by default. */
  readonly first?: number;
}

/** What a process has spent since it started. */
export interface Sample {
  /** Microseconds of processor time. */
  readonly cpu: number;
  /** Bytes over links to nodes, both ways. */
  readonly nodeBytes: number;
  /** Bytes over links to homes, both ways; of a home only. */
  readonly peerBytes: number;
  /** Bytes of resident memory. */
  readonly memory: number;
}

/** What happens to instances. */
export type Event =
  /** It says that it drains, then serves again. */
  | 'drain'
  /** Its process ends: the link closes without a word. */
  | 'crash'
  /** It goes silent; its link stays open. */
  | 'hang'
  /** A share of all instances restart at once. */
  | 'mass-restart';

/** Commands to a home. */
export type HomeCommand =
  | {readonly kind: 'link'; readonly peers: readonly Address[]}
  /** Fills the home with a crowd. */
  | {readonly kind: 'crowd'; readonly crowd: Crowd}
  /** Restarts instances of the crowd, evenly spread over the time. */
  | {
      readonly kind: 'churn';
      readonly restarts: number;
      readonly milliseconds: number;
    }
  | {readonly kind: 'sample'};

/** Answers of a home. */
export type HomeReport =
  | {readonly kind: 'ready'; readonly nodes: Address; readonly peers: Address}
  | {readonly kind: 'churned'}
  | {readonly kind: 'sample'; readonly sample: Sample};

/** How a fleet of stand-in nodes is made. */
export interface FleetPlan {
  readonly homes: readonly Address[];
  readonly nodes: number;
  readonly services: number;
  /** Services that each node calls. */
  readonly calls: number;
  readonly seed: number;
}

/** Commands to the fleet. */
export type FleetCommand =
  | {readonly kind: 'start'; readonly plan: FleetPlan}
  | {readonly kind: 'sample'}
  | {readonly kind: 'play'; readonly event: Event; readonly share: number};

/** Answers of the fleet. */
export type FleetReport =
  | {readonly kind: 'started'}
  | {readonly kind: 'sample'; readonly sample: Sample}
  | {
      readonly kind: 'played';
      /** Milliseconds until each of the nodes that call the service knew. */
      readonly times: readonly number[];
      /** Nodes that did not know in time. */
      readonly missed: number;
    };

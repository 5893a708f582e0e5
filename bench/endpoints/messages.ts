import type {Address} from '../../src/link/link.js';

/** Messages between the endpoints bench and its processes over Node.js IPC. */

/** Which registry a home uses; `naive` is the baseline. */
export type HomeKind = 'registry' | 'naive';

/** Instances that a home simulates without processes or links. */
export interface Crowd {
  readonly instances: number;
  readonly services: number;
  /** Index of the first instance; default: 0. */
  readonly first?: number;
}

/** Resources that a process has used since its start. */
export interface Sample {
  /** Microseconds of processor time. */
  readonly cpu: number;
  /** Bytes on links between nodes and homes, in both directions. */
  readonly nodeBytes: number;
  /** Bytes on links to other homes, in both directions; 0 for the fleet. */
  readonly peerBytes: number;
  /** Resident memory in bytes. */
  readonly memory: number;
}

/** Events that happen to instances. */
export type Event =
  /** The instance announces that it drains, then that it serves again. */
  | 'drain'
  /** The process ends: the link closes without an announcement. */
  | 'crash'
  /** The process stops responding; its link stays open. */
  | 'hang'
  /** A share of all instances restarts at the same time. */
  | 'mass-restart';

/** Commands to a home. */
export type HomeCommand =
  | {readonly kind: 'link'; readonly peers: readonly Address[]}
  /** Creates a crowd in the home. */
  | {readonly kind: 'crowd'; readonly crowd: Crowd}
  /** Restarts instances of the crowd, evenly spread over the duration. */
  | {
      readonly kind: 'churn';
      readonly restarts: number;
      readonly milliseconds: number;
    }
  | {readonly kind: 'sample'};

/** Reports of a home. */
export type HomeReport =
  | {readonly kind: 'ready'; readonly nodes: Address; readonly peers: Address}
  | {readonly kind: 'churned'}
  | {readonly kind: 'sample'; readonly sample: Sample};

/** Setup of the fleet of stand-in nodes. */
export interface FleetPlan {
  readonly homes: readonly Address[];
  readonly nodes: number;
  readonly services: number;
  /** Number of services that each node calls. */
  readonly calls: number;
  readonly seed: number;
}

/** Commands to the fleet. */
export type FleetCommand =
  | {readonly kind: 'start'; readonly plan: FleetPlan}
  | {readonly kind: 'sample'}
  | {readonly kind: 'play'; readonly event: Event; readonly share: number};

/** Reports of the fleet. */
export type FleetReport =
  | {readonly kind: 'started'}
  | {readonly kind: 'sample'; readonly sample: Sample}
  | {
      readonly kind: 'played';
      /**
       * Milliseconds until each node that calls the service knew of the event.
       */
      readonly times: readonly number[];
      /** Number of nodes that did not learn of the event in time. */
      readonly missed: number;
    };

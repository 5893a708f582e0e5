import type {Configuration} from '../../src/configuration/configuration.js';
import type {Announcement} from '../../src/endpoints/messages.js';

/** Messages between a request bench and its processes over Node.js IPC. */

/** Commands to a process: starts what it runs, or asks for its usage. */
export type Command =
  | {
      readonly kind: 'upstream';
      /** Milliseconds that each request takes; 0 to answer immediately. */
      readonly work: number;
      /** Body size of each answer. */
      readonly bytes: number;
    }
  | {
      readonly kind: 'node';
      readonly instance: string;
      /**
       * Address of the upstream beside it; absent for a node with only an
       * entry.
       */
      readonly upstream?: string;
      readonly instances: readonly Announcement[];
      readonly seed: number;
    }
  /** A plain HTTP proxy without any decisions. */
  | {readonly kind: 'bare'; readonly target: string}
  | {readonly kind: 'usage'};

/** The addresses of what was started. */
export interface Started {
  readonly kind: 'started';
  readonly address: string;
  readonly gate?: string;
}

/** Resources that the process has used since its start. */
export interface Usage {
  readonly kind: 'usage';
  /** Microseconds of processor time. */
  readonly processor: number;
  /** Resident memory in bytes. */
  readonly resident: number;
  /** Bytes of heap in use. */
  readonly heap: number;
}

/** Any report of a process. */
export type Report = Started | Usage;

/** The configuration of all request benches: one service with lookups. */
export const benchConfiguration: Configuration = {
  version: 1,
  services: new Map([
    ['stock-desk', {name: 'stock-desk', slowStart: 0}],
  ]) as Configuration['services'],
  routes: new Map([
    [
      'stock',
      {
        name: 'stock',
        prefix: '/stock',
        methods: [],
        service: 'stock-desk',
        policy: 'lookups',
      },
    ],
  ]),
  policies: new Map([
    [
      'lookups',
      {
        name: 'lookups',
        priority: 'normal',
        deadline: 5_000,
        attempts: 3,
        repeatability: 'idempotent',
        bodyLimit: 1024 * 1024,
        objective: {target: 0.99, latency: 100},
      },
    ],
  ]),
  drains: new Map(),
  workspaces: new Map(),
  quarantines: new Map(),
  rollouts: new Map(),
};

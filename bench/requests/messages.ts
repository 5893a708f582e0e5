import type {Configuration} from '../../src/configuration/configuration.js';
import type {Announcement} from '../../src/endpoints/messages.js';

/** What the bench tells a process it started, and what comes back. */

/** Starts a part in the process. */
export type Command =
  | {
      readonly kind: 'upstream';
      /** Milliseconds that each request takes; 0 to answer at once. */
      readonly work: number;
      /** Bytes of each answer. */
      readonly bytes: number;
    }
  | {
      readonly kind: 'node';
      readonly instance: string;
      /** Address of the upstream beside it; absent for a mere entry. */
      readonly upstream?: string;
      readonly instances: readonly Announcement[];
      readonly seed: number;
    }
  /** A hop that forwards and decides nothing. */
  | {readonly kind: 'bare'; readonly target: string}
  | {readonly kind: 'usage'};

/** The addresses of a part that was started. */
export interface Started {
  readonly kind: 'started';
  readonly address: string;
  readonly gate?: string;
}

/** What the process has used since its start. */
export interface Usage {
  readonly kind: 'usage';
  /** Microseconds of processor time. */
  readonly processor: number;
  /** Bytes resident. */
  readonly resident: number;
  readonly heap: number;
}

/** Any answer of a process. */
export type Report = Started | Usage;

/** The configuration of all request benches: one service, lookups on it. */
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
  quarantines: new Map(),
};

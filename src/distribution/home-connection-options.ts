/** What a home is created with, and what follows from it. */
import type {Hello, HomeAddress} from '../fleet/messages.js';
import type {Address, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Timers} from '../time/timers.js';
import type {BackoffBounds} from './backoff.js';
import {distributionLimits as limits} from './limits.js';

/** Settings of a home; times in milliseconds. */
export interface HomeConnectionOptions {
  readonly network: Network;
  /** Where a link may go; plain addresses count as far away. */
  readonly homes: ReadonlyArray<Address | HomeAddress>;
  /** How this process introduces itself. */
  readonly self: Hello;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Period of pings; default 1000 for a node, 250 for a relay. */
  readonly heartbeat?: number;
  /** Age of the last confirmation after which it is not fresh; default 3000. */
  readonly freshness?: number;
  /** Longest delay before a lost link is opened again; default 5000. */
  readonly maxReconnectDelay?: number;
  /** Test only: parts that keep a failure away, all on by default. */
  readonly safeguards?: {
    readonly freshness?: boolean;
    readonly silence?: boolean;
  };
}

/** Periods of a home and its safeguards; times in milliseconds. */
export interface HomeConnectionPeriods {
  /** Period of pings. */
  readonly heartbeat: number;
  /** Age of the last confirmation after which it is not fresh. */
  readonly freshness: number;
  /** Age of the last confirmation at which other homes are asked. */
  readonly overdueAge: number;
  /** Delay before a home is sought again. */
  readonly reconnectDelay: BackoffBounds;
  readonly safeguards: {readonly freshness: boolean; readonly silence: boolean};
}

/** Resolves what the options leave out. */
export function resolveHomePeriods(options: HomeConnectionOptions): HomeConnectionPeriods {
  const freshness = options.freshness ?? limits.freshness;
  const most = options.maxReconnectDelay ?? limits.reconnect.most;
  return {
    heartbeat: options.heartbeat ?? defaultHeartbeat(options.self),
    freshness,
    overdueAge: freshness * limits.doubt,
    reconnectDelay: {...limits.reconnect, most},
    safeguards: {freshness: true, silence: true, ...options.safeguards},
  };
}

function defaultHeartbeat(self: Hello): number {
  if (self.kind === 'node') return limits.nodeHeartbeat;
  return limits.relayHeartbeat;
}

/** A home of the settings; a plain address stands far away. */
export function resolveHomeAddress(home: Address | HomeAddress): HomeAddress {
  return typeof home === 'string' ? {address: home} : home;
}

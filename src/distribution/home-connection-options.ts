/** Options of a home connection, and the periods derived from them. */
import type {Hello, HomeAddress} from '../fleet/messages.js';
import type {Address, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Timers} from '../time/timers.js';
import type {BackoffBounds} from './backoff.js';
import {distributionLimits as limits} from './limits.js';

/** Options of createHomeConnection; times in milliseconds. */
export interface HomeConnectionOptions {
  readonly network: Network;
  /** Homes that may be connected to; plain addresses count as far away. */
  readonly homes: ReadonlyArray<Address | HomeAddress>;
  /** The hello message of this process. */
  readonly self: Hello;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** Period of pings; default 1000 for a node, 250 for a relay. */
  readonly heartbeat?: number;
  /**
   * Age of the last confirmation above which the state is not fresh; default
   * 3000.
   */
  readonly freshness?: number;
  /** Maximum delay before a reconnect; default 5000. */
  readonly maxReconnectDelay?: number;
  /** Test only: protections against failures, all on by default. */
  readonly safeguards?: {
    /** A home that does not confirm the state is replaced by another. */
    readonly freshness?: boolean;
    /** The link to a home that does not answer is closed. */
    readonly silence?: boolean;
  };
}

/** Periods and safeguards of a home connection; times in milliseconds. */
export interface HomeConnectionPeriods {
  /** Period of pings. */
  readonly heartbeat: number;
  /** Age of the last confirmation above which the state is not fresh. */
  readonly freshness: number;
  /** Age of the last confirmation at which other homes are probed. */
  readonly overdueAge: number;
  /** Delay before the next search for a home. */
  readonly reconnectDelay: BackoffBounds;
  readonly safeguards: {readonly freshness: boolean; readonly silence: boolean};
}

/** Fills in the defaults of the options. */
export function resolveHomePeriods(
  options: HomeConnectionOptions,
): HomeConnectionPeriods {
  const freshness = options.freshness ?? limits.freshness;
  const most = options.maxReconnectDelay ?? limits.reconnectDelay.most;
  return {
    heartbeat: options.heartbeat ?? defaultHeartbeat(options.self),
    freshness,
    overdueAge: freshness * limits.overdueShare,
    reconnectDelay: {...limits.reconnectDelay, most},
    safeguards: {freshness: true, silence: true, ...options.safeguards},
  };
}

function defaultHeartbeat(self: Hello): number {
  if (self.kind === 'node') return limits.nodeHeartbeat;
  return limits.relayHeartbeat;
}

/** Returns a configured home; a plain address has no known locality. */
export function resolveHomeAddress(home: Address | HomeAddress): HomeAddress {
  return typeof home === 'string' ? {address: home} : home;
}

import {emptyConfiguration} from '../../configuration/configuration.js';
import type {
  Configuration,
  Drain,
  Policy,
  Quarantine,
  Rollout,
  Route,
  Service,
  Workspace,
} from '../../configuration/configuration.js';

/** A policy for tests; `changes` override the defaults. */
export function policyOf(changes: Partial<Policy> = {}): Policy {
  return {
    name: 'lookups',
    priority: 'normal',
    deadline: 5_000,
    attempts: 3,
    repeatability: 'idempotent',
    bodyLimit: 8 * 1024 * 1024,
    objective: {target: 0.99, latency: 100},
    ...changes,
  };
}

/** A route for tests; `changes` override the defaults. */
export function routeOf(changes: Partial<Route> = {}): Route {
  return {
    name: 'stock',
    prefix: '/stock',
    methods: [],
    service: 'stock-desk',
    policy: 'lookups',
    ...changes,
  };
}

/** The contents of a configuration for tests. */
export interface ConfigurationParts {
  readonly version?: number;
  readonly services?: readonly Service[];
  readonly routes?: readonly Route[];
  readonly policies?: readonly Policy[];
  readonly workspaces?: readonly Workspace[];
  readonly drains?: readonly Drain[];
  readonly quarantines?: readonly Quarantine[];
  readonly rollouts?: readonly Rollout[];
}

/** Creates a configuration; absent parts are empty. */
export function configurationOf(parts: ConfigurationParts): Configuration {
  return {
    version: parts.version ?? 1,
    services: byName(parts.services ?? []),
    routes: byName(parts.routes ?? []),
    policies: byName(parts.policies ?? []),
    workspaces: byName(parts.workspaces ?? []),
    drains: byName(parts.drains ?? []),
    quarantines: byName(parts.quarantines ?? []),
    rollouts: byName(parts.rollouts ?? []),
  };
}

/** A configuration with idempotent lookups and with bookings that run once. */
export const stockConfiguration: Configuration = configurationOf({
  services: [{name: 'stock-desk', slowStart: 0}],
  routes: [
    routeOf(),
    routeOf({name: 'bookings', prefix: '/bookings', policy: 'bookings'}),
  ],
  policies: [policyOf(), policyOf({name: 'bookings', repeatability: 'once'})],
});

export {emptyConfiguration};

function byName<T extends {readonly name: string}>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map(item => [item.name, item]));
}

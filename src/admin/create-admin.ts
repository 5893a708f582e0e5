import {Registry} from 'prom-client';
import type {Metrics} from '../metrics/metrics.js';
import type {Address} from '../link/link.js';
import type {Timers} from '../time/timers.js';
import {createAdminServer} from './admin-server.js';
import type {Action, AdminServer, Health} from './admin-server.js';
import {createMetrics} from './metrics.js';
import {publishProcess} from './process-metrics.js';

/** The administration of one process: its metrics, and the listener for them. */
export interface Admin {
  /** Slices report here, before the listener is open and after. */
  readonly metrics: Metrics;
  /** Opens the listener; called once the role has composed its slices. */
  listen(
    health: Health,
    actions?: Readonly<Record<string, Action>>,
  ): Promise<AdminServer>;
}

/** The settings that administration reads. */
export interface AdminSettings {
  readonly adminAddress: Address;
  readonly adminToken?: string | undefined;
}

/** Creates the administration of one process. */
export function createAdmin(settings: AdminSettings, timers: Timers): Admin {
  const registry = new Registry();
  publishProcess(registry, timers.wall());
  return {
    metrics: createMetrics({registry}),
    listen: (health, actions) =>
      createAdminServer({
        address: settings.adminAddress,
        token: settings.adminToken,
        registry,
        health,
        wall: () => timers.wall(),
        actions,
      }),
  };
}

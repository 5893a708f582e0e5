/** The listener that receives announcements of the upstream beside a node. */
import {isBeforeFirstChange} from '../configuration/configuration.js';
import type {Configuration} from '../configuration/configuration.js';
import type {AnnounceServer} from '../endpoints/announce-server.js';
import type {Announcer} from '../endpoints/announcer.js';
import type {Process} from '../process/process.js';
import {defaults} from '../settings/defaults.js';
import type {NodeSettings} from '../settings/schema.js';
import type {UpstreamListenerOptions} from './parts.js';

/**
 * Opens the listener. It is undefined if the settings give no address for it; then
 * the upstream can't announce itself and the settings describe it instead.
 */
export async function listenForUpstream(
  settings: NodeSettings,
  {timers, log}: Process,
  announcer: Announcer,
  checks: Pick<UpstreamListenerOptions, 'answers' | 'isService' | 'departures'>,
  listen: (options: UpstreamListenerOptions) => Promise<AnnounceServer>,
): Promise<AnnounceServer | undefined> {
  if (settings.announceAddress === undefined) return undefined;
  return listen({
    address: settings.announceAddress,
    announcer,
    timers,
    log,
    lease: defaults.lease,
    ...checks,
  });
}

/** Whether a service may exist; before the first configuration any service may. */
export function isPossibleService(
  configuration: Configuration | undefined,
  name: string,
): boolean {
  if (configuration === undefined || isBeforeFirstChange(configuration))
    return true;
  return configuration.services.has(name);
}

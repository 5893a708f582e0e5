/** Where the upstream beside a node announces itself. */
import {isBeforeFirstChange} from '../configuration/configuration.js';
import type {Configuration} from '../configuration/configuration.js';
import type {
  AnnounceServer,
  AnnounceServerOptions,
} from '../endpoints/announce-server.js';
import type {Announcer} from '../endpoints/announcer.js';
import type {Process} from '../process/process.js';
import {defaults} from '../settings/defaults.js';
import type {NodeSettings} from '../settings/schema.js';

/** An upstream that can't announce itself stands in the settings instead. */
export async function listenForUpstream(
  settings: NodeSettings,
  {timers, log}: Process,
  announcer: Announcer,
  checks: Pick<AnnounceServerOptions, 'answers' | 'isService'>,
  listen: (options: AnnounceServerOptions) => Promise<AnnounceServer>,
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

/** Before the first configuration nothing can be told of a service. */
export function isPossibleService(
  configuration: Configuration | undefined,
  name: string,
): boolean {
  if (configuration === undefined || isBeforeFirstChange(configuration)) return true;
  return configuration.services.has(name);
}

import type {Process} from '../process/process.js';
import type {NodeSettings} from '../settings/schema.js';
import {warmUpCode} from './code-warm-up.js';
import type {NodeParts} from './parts.js';

/**
 * Starts the warm-up of the code in the background; if it fails, the first
 * requests are slower.
 */
export function startWarmUp(
  settings: NodeSettings,
  {timers, random, log}: Process,
  parts: NodeParts,
  shouldContinue: () => boolean,
): void {
  const warmUp = warmUpCode({
    requests: settings.warmUpRequests,
    shouldContinue,
    callers: parts.callers,
    upstreams: parts.upstreams,
    traffic: parts.sampleTraffic,
    timers,
    random,
  });
  warmUp.then(
    requests => log.info('code warmed up', {requests}),
    (error: Error) => log.warn('code warm-up failed', {reason: error.message}),
  );
}

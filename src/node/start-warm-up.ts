import type {Process} from '../process/process.js';
import type {NodeSettings} from '../settings/schema.js';
import {warmUpCode} from './code-warm-up.js';
import type {NodeParts} from './parts.js';

/** Has the code compiled beside the process's start; a failure costs speed only. */
export function startWarmUp(
  settings: NodeSettings,
  {timers, random, log}: Process,
  parts: NodeParts,
  isWanted: () => boolean,
): void {
  const warmUp = warmUpCode({
    requests: settings.warmUpRequests,
    shouldContinue: isWanted,
    callers: parts.callers,
    upstreams: parts.upstreams,
    traffic: parts.sampleTraffic,
    timers,
    random,
  });
  warmUp.then(
    requests => log.info('code warmed up', {requests}),
    (error: Error) => log.warn('code stays cold', {reason: error.message}),
  );
}

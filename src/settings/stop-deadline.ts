/** How long a planned stop may take. */
import type {Settings} from './schema.js';

/**
 * Milliseconds before its end by force at which a stop has cut what still runs:
 * answers go out, parts close and the last lines are written, on a small share
 * of a core.
 */
const closingTime = 1_000;

/**
 * Milliseconds that a planned stop may take. A fixed time cuts requests that
 * could still have ended where more is granted, and is cut short itself, without
 * an answer to anybody, where less is.
 */
export function effectiveStopDeadline({
  stopDeadline,
  killAfter,
}: Pick<Settings, 'stopDeadline' | 'killAfter'>): number {
  if (killAfter === undefined) return stopDeadline;
  return Math.min(stopDeadline, Math.max(0, killAfter - closingTime));
}

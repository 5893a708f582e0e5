/** The time limit of a planned stop. */
import type {Settings} from './schema.js';

/**
 * Milliseconds reserved between the end of a planned stop and the forced end of
 * the process. In this time the answers to cancelled requests are sent, all
 * parts are closed and the last log lines are written, even if the process gets
 * only a small share of a core.
 */
const closingTime = 500;

/**
 * Returns how many milliseconds a planned stop may take. It depends on
 * `killAfter`, because with a fixed time the process would be killed before it
 * has answered its open requests on a platform that allows less time, and would
 * cancel requests that could still complete on one that allows more.
 */
export function effectiveStopDeadline({
  stopDeadline,
  killAfter,
}: Pick<Settings, 'stopDeadline' | 'killAfter'>): number {
  if (killAfter === undefined) return stopDeadline;
  return Math.min(stopDeadline, Math.max(0, killAfter - closingTime));
}

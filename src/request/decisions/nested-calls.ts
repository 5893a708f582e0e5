/** The calls that upstreams make while they run a request. */
import type {Configuration} from '../../configuration/configuration.js';
import type {Call} from '../messages/call.js';

/**
 * Whether an upstream made a call as part of another request. Callers have a
 * workspace where there are any, and upstreams have no key to send.
 */
export function isNestedCall(
  {workspaces}: Pick<Configuration, 'workspaces'>,
  workspace: string | undefined,
): boolean {
  return workspaces.size > 0 && workspace === undefined;
}

/**
 * Until when an answer is worth a slot. Without a nested call, the request that
 * waits for it fails, so it may miss its objective.
 */
export function usefulUntil({
  isNested,
  deadline,
  goodUntil = deadline,
}: Pick<Call, 'isNested' | 'deadline' | 'goodUntil'>): number {
  return isNested === true ? deadline : goodUntil;
}

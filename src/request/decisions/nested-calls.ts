/** Tells the calls that upstreams make while they run a request. */
import type {Configuration} from '../../configuration/configuration.js';

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

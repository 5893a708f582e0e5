/**
 * The shares of workspaces at a full gate, relative to each other. Sizes of
 * workspaces differ by a factor of a hundred. With equal shares, the largest
 * was served a quarter as often as all at twice the capacity. With shares in
 * proportion to the quotas, the small ones were served less than in the order of
 * arrival, because their calls come in bursts relative to their rate. So shares
 * grow with the quotas, but less than in proportion.
 */
import type {Configuration} from '../../configuration/configuration.js';
import type {Clock} from '../../time/clock.js';

/**
 * Milliseconds for which the mean rate is kept while the configuration changes.
 * Computing it takes time in proportion to the number of workspaces.
 */
const meanAge = 10_000;

/**
 * Power of a quota, divided by the mean quota, that is the weight. From 1 to 3
 * times the capacity it keeps every workspace above half of what all get, for
 * sizes by a power law with the exponent 1.2; 0.5 does not.
 */
export const weightExponent = 0.7;

/**
 * The weight of a workspace; 1 without a quota. Calls without a workspace weigh
 * as much as all workspaces: most are calls of upstreams, and the request that
 * waits for one holds a slot at another upstream and fails with it.
 */
export type WorkspaceWeights = (workspace: string | undefined) => number;

/** Creates the weights from the quotas of the configuration in force. */
export function createWorkspaceWeights(
  configuration: () => Configuration | undefined,
  clock: Clock,
): WorkspaceWeights {
  let source: Configuration | undefined;
  let mean = 0;
  let computedAt = -Infinity;

  function meanRate(current: Configuration): number {
    if (current === source) return mean;
    if (clock.now() - computedAt < meanAge) return mean;
    source = current;
    computedAt = clock.now();
    mean = meanRateOf(current);
    return mean;
  }

  return workspace => {
    const current = configuration();
    if (current === undefined) return 1;
    if (workspace === undefined) return Math.max(1, current.workspaces.size);
    const rate = current.workspaces.get(workspace)?.quota?.rate;
    const usual = meanRate(current);
    if (rate === undefined || rate === 0 || usual === 0) return 1;
    return (rate / usual) ** weightExponent;
  };
}

/** Mean rate of the workspaces with a quota; 0 if there are none. */
function meanRateOf({workspaces}: Configuration): number {
  let sum = 0;
  let count = 0;
  for (const {quota} of workspaces.values()) {
    if (quota === undefined) continue;
    sum += quota.rate;
    count++;
  }
  return count === 0 ? 0 : sum / count;
}

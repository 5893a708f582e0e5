/** Which versions of a service a roll-out allows. */
import type {Rollout} from '../configuration/configuration.js';
import type {Announcement} from '../endpoints/messages.js';

/** Whether instances of a version are those of the target. */
export function isTargetVersion(
  {order}: Rollout,
  version: string | undefined,
): boolean {
  return version !== undefined && version === order?.target;
}

/**
 * Whether instances of a version are stable ones. Instances that announce no
 * version are: their nodes do not take part in roll-outs.
 */
export function isStableVersion(
  rollout: Rollout,
  version: string | undefined,
): boolean {
  if (version === undefined) return true;
  const {stable} = rollout;
  if (stable.length === 0) return !isTargetVersion(rollout, version);
  return stable.includes(version);
}

/** Whether the service may run requests at a version at all. */
export function isAllowedVersion(
  rollout: Rollout,
  version: string | undefined,
): boolean {
  return isStableVersion(rollout, version) || isTargetVersion(rollout, version);
}

/**
 * The version that most of the instances announce; undefined if one of them
 * announces none or there are no instances.
 */
export function mostFrequentVersion(
  instances: readonly Announcement[],
): string | undefined {
  const counts = new Map<string, number>();
  for (const {version} of instances) {
    if (version === undefined) return undefined;
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  return [...counts].sort(([, left], [, right]) => right - left)[0]?.[0];
}

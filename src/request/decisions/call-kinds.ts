/**
 * Kinds of calls. Calls of one kind take similar time, so durations and sizes
 * are learned by kind. A kind is the policy of a route, and stays the same if a
 * later configuration gives that route another policy.
 */
import type {Configuration} from '../../configuration/configuration.js';

/** The kinds of calls in the configurations that a process has seen. */
export interface CallKinds {
  /** The kind of calls under a policy; its name if nothing else is known. */
  of(policy: string): string;
  /** Adopts the routes of the configuration that came into force. */
  update(configuration: Pick<Configuration, 'routes' | 'policies'>): void;
}

/** Creates kinds without any configuration: each policy is one. */
export function createCallKinds(): CallKinds {
  /** Kinds of policies whose names differ from those of their kinds. */
  let renamed = new Map<string, string>();
  let policies: ReadonlySet<string> = new Set();
  let routePolicies = new Map<string, string>();

  const of = (policy: string) => renamed.get(policy) ?? policy;

  /** Kinds that new policies take over from the former ones of their routes. */
  function findRenamed(
    routes: Configuration['routes'],
  ): ReadonlyMap<string, string> {
    const found = new Map<string, string>();
    for (const {name, policy} of routes.values()) {
      const former = routePolicies.get(name);
      if (former === undefined || former === policy) continue;
      if (policies.has(policy) || found.has(policy)) continue;
      found.set(policy, of(former));
    }
    return found;
  }

  return {
    of,
    update: configuration => {
      const added = findRenamed(configuration.routes);
      const present = new Set(configuration.policies.keys());
      // Entries with the former configuration still send its policies.
      const kept = [...renamed].filter(
        ([policy]) => present.has(policy) || policies.has(policy),
      );
      renamed = new Map([...kept, ...added]);
      policies = present;
      routePolicies = new Map(
        [...configuration.routes.values()].map(({name, policy}) => [
          name,
          policy,
        ]),
      );
    },
  };
}

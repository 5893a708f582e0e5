import type {Subscriber} from '../distribution/subscriber.js';
import type {Announcer} from '../endpoints/announcer.js';
import type {Membership} from '../endpoints/membership.js';

/**
 * A node always wants the service of its own upstream too. Without it an
 * operator's drain of that upstream would not reach the gate that must obey
 * it, and the keeper beside it would never learn of its set.
 */
export function subscribeToOwnService(
  calls: readonly string[],
  announcer: Announcer,
  subscriber: Subscriber,
  membership: Membership,
): void {
  let own: string | undefined;
  announcer.onChange(({service}) => {
    if (service === own) return;
    own = service;
    const services = [...new Set([...calls, service])];
    subscriber.subscribe(services);
    membership.subscribe(services);
  });
}

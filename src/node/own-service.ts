import type {Subscriber} from '../distribution/subscriber.js';
import type {Announcer} from '../endpoints/announcer.js';
import type {Membership} from '../endpoints/membership.js';

/**
 * Subscribes a node to the service of its own upstream in addition to the
 * services that it calls. Otherwise an operator's drain of that upstream would
 * not reach its gate, and the node's keeper would not receive its assignment.
 */
export function subscribeToOwnService(
  calls: readonly string[],
  announcer: Announcer,
  subscriber: Subscriber,
  membership: Membership,
): void {
  let ownService: string | undefined;
  announcer.onChange(({service}) => {
    if (service === ownService) return;
    ownService = service;
    const services = [...new Set([...calls, service])];
    subscriber.subscribe(services);
    membership.subscribe(services);
  });
}

import type {Announcement, EndpointView} from '../../endpoints/messages.js';

/** An endpoint view whose instances are set by a test. */
export interface FakeEndpoints extends EndpointView {
  put(announcement: Announcement): void;
  remove(service: string, instance: string): void;
}

/** Creates a view without instances. */
export function createFakeEndpoints(): FakeEndpoints {
  const services = new Map<string, Map<string, Announcement>>();
  const observers: Array<(service: string) => void> = [];

  function instancesOf(service: string): Map<string, Announcement> {
    let instances = services.get(service);
    if (instances === undefined) {
      instances = new Map();
      services.set(service, instances);
    }
    return instances;
  }

  function notifyObservers(service: string): void {
    for (const observe of observers) observe(service);
  }

  return {
    instances: service => [...instancesOf(service).values()],
    onChange: observe => void observers.push(observe),
    put: announcement => {
      const {service, instance} = announcement;
      instancesOf(service).set(instance, announcement);
      notifyObservers(service);
    },
    remove: (service, instance) => {
      instancesOf(service).delete(instance);
      notifyObservers(service);
    },
  };
}

/** An announcement of a serving instance; `changes` override the defaults. */
export function announcementOf(
  changes: Partial<Announcement> = {},
): Announcement {
  return {
    instance: 'stock-desk-1',
    service: 'stock-desk',
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    gate: '127.0.0.1:1',
    failureDomain: 'rusayl-a',
    region: 'muscat',
    slots: 20,
    connections: 110,
    since: 0,
    ...changes,
  };
}

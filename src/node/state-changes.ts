/**
 * Logs what a node comes to believe: which instances there are, which
 * configuration is in force, what its own upstream says of itself. A request's
 * lines tell what was decided on these beliefs; these tell since when.
 */
import type {Configuration} from '../configuration/configuration.js';
import type {Announcer} from '../endpoints/announcer.js';
import type {EndpointView, KnownInstance} from '../endpoints/messages.js';
import {createLineBudget} from '../log/line-budget.js';
import type {Fields, Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';

/** Options of `logBeliefs`. */
export interface StateChangesOptions {
  readonly announcer: Pick<Announcer, 'onChange'>;
  readonly endpoints: EndpointView;
  readonly onConfiguration: (
    observe: (configuration: Configuration) => void,
  ) => void;
  readonly timers: Timers;
  readonly log: Log;
}

// A release of a service of ten instances is some forty changes; a restart of
// a whole fleet is counted, not told one by one.
const linesPerSecond = 10;
const linesAtOnce = 200;

/** Logs each belief as it changes, up to a rate. */
export function logStateChanges(options: StateChangesOptions): void {
  const {endpoints, timers} = options;
  const log = options.log.scope('beliefs');
  const budget = createLineBudget({
    rate: linesPerSecond,
    burst: linesAtOnce,
    timers,
    log,
  });
  const believed = new Map<string, Map<string, string>>();

  function tell(message: string, fields: Fields): void {
    if (budget.take(1)) log.info(message, fields);
  }

  function tellInstance(known: KnownInstance): void {
    const {service, instance, incarnation, state, gate, suspect} = known;
    tell('instance', {
      service,
      instance,
      incarnation,
      state,
      gate,
      suspect,
      stateAge: Math.round(timers.wall() - known.since),
    });
  }

  endpoints.onChange(service => {
    const before = believed.get(service) ?? new Map<string, string>();
    const now = new Map<string, string>();
    for (const known of endpoints.instances(service)) {
      const {instance, incarnation, state, suspect} = known;
      const word = `${incarnation} ${state} ${suspect === true}`;
      now.set(instance, word);
      if (before.get(instance) !== word) tellInstance(known);
    }
    for (const instance of before.keys()) {
      if (!now.has(instance)) tell('instance gone', {service, instance});
    }
    if (now.size > 0) believed.set(service, now);
    else believed.delete(service);
  });

  options.onConfiguration(({version, services, routes, drains}) =>
    tell('configuration in force', {
      version,
      services: services.size,
      routes: routes.size,
      drains: drains.size,
    }),
  );

  options.announcer.onChange(({service, instance, incarnation, state}) =>
    tell('own upstream', {service, instance, incarnation, state}),
  );
}

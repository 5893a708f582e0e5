/**
 * Logs changes of the state that a node bases its decisions on: the known
 * instances, the configuration in force and the announcements of its own upstream.
 * The log lines of a request show its decisions; these lines show the state at the
 * time.
 */
import type {Configuration} from '../configuration/configuration.js';
import type {Announcer} from '../endpoints/announcer.js';
import type {HomeConnection} from '../distribution/home-connection.js';
import type {EndpointView, KnownInstance} from '../endpoints/messages.js';
import {createLineBudget} from '../log/line-budget.js';
import type {Fields, Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';

/** Options of `logStateChanges`. */
export interface StateChangesOptions {
  readonly announcer: Pick<Announcer, 'onChange'>;
  readonly endpoints: EndpointView;
  readonly onConfiguration: (
    observe: (configuration: Configuration) => void,
  ) => void;
  readonly home: Pick<HomeConnection, 'address'>;
  readonly timers: Timers;
  readonly log: Log;
}

// A release of a service with ten instances causes about forty changes. During a
// restart of a whole fleet, changes of instances beyond the limit are only counted.
const linesPerSecond = 10;
const maxBurst = 200;

/**
 * Logs each change of the known state, changes of instances up to a rate.
 * Configurations are not subject to it, since their lines show whether a version
 * came into force in time; homes limit how often they send one.
 */
export function logStateChanges(options: StateChangesOptions): void {
  const {endpoints, home, timers} = options;
  const log = options.log.scope('beliefs');
  const budget = createLineBudget({
    rate: linesPerSecond,
    burst: maxBurst,
    timers,
    log,
  });
  const knownStates = new Map<string, Map<string, string>>();

  function logLine(message: string, fields: Fields): void {
    if (budget.take(1)) log.info(message, fields);
  }

  function logInstance(changed: KnownInstance): void {
    const {service, instance, incarnation, state, gate, suspect} = changed;
    logLine('instance', {
      service,
      instance,
      incarnation,
      state,
      gate,
      suspect,
      stateAge: Math.round(timers.wall() - changed.since),
    });
  }

  endpoints.onChange(service => {
    const before = knownStates.get(service) ?? new Map<string, string>();
    const now = new Map<string, string>();
    for (const known of endpoints.instances(service)) {
      const {instance, incarnation, state, suspect} = known;
      const knownState = `${incarnation} ${state} ${suspect === true}`;
      now.set(instance, knownState);
      if (before.get(instance) !== knownState) logInstance(known);
    }
    for (const instance of before.keys()) {
      if (!now.has(instance)) logLine('instance gone', {service, instance});
    }
    if (now.size > 0) knownStates.set(service, now);
    else knownStates.delete(service);
  });

  options.onConfiguration(({version, services, routes, drains}) =>
    log.info('configuration in force', {
      version,
      home: home.address(),
      services: services.size,
      routes: routes.size,
      drains: drains.size,
    }),
  );

  options.announcer.onChange(({service, instance, incarnation, state}) =>
    logLine('own upstream', {service, instance, incarnation, state}),
  );
}

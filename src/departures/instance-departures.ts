/** The departures of the upstreams beside one node. */
import type {Departure} from '../configuration/departures.js';
import type {Log} from '../log/log.js';
import type {Timers} from '../time/timers.js';
import type {DepartureClient} from './departure-client.js';

/** A departure of the upstream beside this node. */
export type OwnDeparture = Omit<Departure, 'instance'>;

/** What a node keeps of the ends of its upstreams beyond its own process. */
export interface InstanceDepartures {
  /**
   * Records a departure; resolves to true once it outlives this process. The
   * upstream must not be told before that it was heard.
   */
  record(departure: OwnDeparture): Promise<boolean>;
  /**
   * The departures that were recorded before this process started; undefined
   * until they are known.
   */
  recalled(): readonly OwnDeparture[] | undefined;
  /** Waits at most a short time for `recalled`. */
  recall(): Promise<readonly OwnDeparture[] | undefined>;
}

/** Options of `createInstanceDepartures`. */
export interface InstanceDeparturesOptions {
  readonly instance: string;
  readonly client: DepartureClient;
  readonly timers: Timers;
  readonly log: Log;
}

/** The departures of a running node. */
export interface NodeDepartures extends InstanceDepartures {
  /**
   * The state of the home is confirmed. If it still answers no questions about
   * departures, it is of an older release, which keeps none.
   */
  onConfirmed(): void;
  stop(): void;
}

/** Creates the departures of a node and asks for the recorded ones. */
export function createInstanceDepartures(
  options: InstanceDeparturesOptions,
): NodeDepartures {
  const {instance, client, timers} = options;
  const log = options.log.scope('departures');
  let recalled: readonly OwnDeparture[] | undefined;
  let isStopped = false;
  let isHomeOlder = false;
  let asking = ask();

  async function ask(): Promise<void> {
    const startedAt = timers.now();
    const answer = await client.recall(instance);
    if (recalled !== undefined || isStopped) return;
    if (answer === undefined) {
      asking = ask();
      return;
    }
    recalled = answer;
    log.info('departures recalled', {
      count: answer.length,
      duration: Math.round(timers.now() - startedAt),
    });
  }

  return {
    async record(departure) {
      if (isHomeOlder && !client.isServed()) return true;
      return client.record({...departure, instance});
    },
    recalled: () => recalled,
    async recall() {
      await asking;
      return recalled;
    },
    onConfirmed() {
      isHomeOlder = !client.isServed();
      if (!isHomeOlder) return;
      log.warn('home keeps no departures', {instance});
      recalled ??= [];
    },
    stop: () => void (isStopped = true),
  };
}

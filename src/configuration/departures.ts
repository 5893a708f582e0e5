/**
 * What upstreams have announced of their end. A late message must not bring a
 * process back after its node has started again with an empty memory, so the
 * control group keeps it.
 */

/** The last announcement of a process of an upstream that is about to end. */
export interface Departure {
  /** The instance, that is the node, that announces the upstream. */
  readonly instance: string;
  /** The upstream's own name for the process. */
  readonly identity: string;
  /**
   * When the process started, in milliseconds since the epoch by its own clock;
   * absent if identities are not reused.
   */
  readonly started?: number;
  /** A draining process may resume with a message of a higher sequence. */
  readonly state: 'draining' | 'gone';
  /** Messages of the process up to this sequence are outdated. */
  readonly sequence: number;
}

/** The recorded departures. */
export interface DepartureTable {
  /** The departures announced by one instance, oldest first. */
  of(instance: string): readonly Departure[];
  /** Whether a departure would change nothing. */
  covers(departure: Departure): boolean;
  /** Records a departure; beyond `limit` the oldest ones are dropped. */
  record(departure: Departure, limit: number): void;
  /** All departures, oldest first. */
  all(): readonly Departure[];
}

/** Maximum number for one instance, so that it can't displace all others. */
const maxPerInstance = 16;

/** Creates a table from the departures of a snapshot. */
export function createDepartureTable(
  recorded: readonly Departure[] = [],
): DepartureTable {
  const departures = new Map(recorded.map(each => [keyOf(each), each]));

  function covers(departure: Departure): boolean {
    const known = departures.get(keyOf(departure));
    return known !== undefined && !isLater(departure, known);
  }

  const of = (instance: string) =>
    [...departures.values()].filter(each => each.instance === instance);

  return {
    of,
    covers,
    record(departure, limit) {
      if (covers(departure)) return;
      const key = keyOf(departure);
      // Reinserted, so that it counts as the newest.
      departures.delete(key);
      departures.set(key, departure);
      const own = of(departure.instance);
      if (own.length > maxPerInstance) departures.delete(keyOf(own[0]!));
      while (departures.size > limit) {
        departures.delete(departures.keys().next().value!);
      }
    },
    all: () => [...departures.values()],
  };
}

const keyOf = ({instance, identity, started}: Departure) =>
  `${instance} ${started} ${identity}`;

/** Whether `next` says more of a process than `known` does. */
function isLater(next: Departure, known: Departure): boolean {
  if (known.state === 'gone') return false;
  return next.state === 'gone' || next.sequence > known.sequence;
}

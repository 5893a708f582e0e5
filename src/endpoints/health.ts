import {createConnection} from 'node:net';
import {createMachine, interpret, state, transition} from 'robot3';
import {request} from 'undici';
import {parseAddress} from '../link/address.js';
import type {Address} from '../link/link.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {Announcer, Upstream} from './announcer.js';

/**
 * What is believed of the upstream beside a node.
 * - `unknown`: nothing was heard yet.
 * - `ready`: it takes connections and nothing speaks against it.
 * - `doubtful`: it takes connections; its health endpoint says it is not well.
 * - `dead`: it takes no connections.
 */
export type Verdict = 'unknown' | 'ready' | 'doubtful' | 'dead';

/** What one look at the upstream gave. */
export type Observation =
  /** A request of the gate was answered, whatever the status. */
  | 'answered'
  /** The health endpoint says that it is well. */
  | 'well'
  /** The health endpoint says that it is not, or does not say in time. */
  | 'unwell'
  /** A connection was refused, by the probe or the gate. */
  | 'refused';

/** Settings of the watch on an upstream; times in milliseconds. */
export interface HealthOptions {
  readonly timers: Timers;
  /** Looks at the upstream once; must not reject. */
  readonly probe: (upstream: Upstream) => Promise<Observation>;
  readonly announcer: Announcer;
  /** Time between two looks; default 1000. */
  readonly interval?: number;
  /** Refused connections in a row that make an upstream dead; default 3. */
  readonly refusals?: number;
}

/** Watches the upstream beside a node. */
export interface Health {
  verdict(): Verdict;
  /** Takes what was seen of the upstream. */
  observe(observation: Observation): void;
  /** Takes a connection of the gate: an answer, or its failure to begin. */
  observeConnection(failure: Error | undefined): void;
  close(): void;
}

const defaultInterval = 1000;
const defaultRefusals = 3;

const machine = createMachine('unknown', {
  unknown: state(
    transition('well', 'ready'),
    transition('answered', 'ready'),
    transition('unwell', 'doubtful'),
    transition('died', 'dead'),
  ),
  ready: state(transition('unwell', 'doubtful'), transition('died', 'dead')),
  doubtful: state(
    transition('well', 'ready'),
    transition('answered', 'ready'),
    transition('died', 'dead'),
  ),
  dead: state(
    transition('well', 'ready'),
    transition('answered', 'ready'),
    transition('unwell', 'doubtful'),
  ),
});

/**
 * Creates the watch. An upstream's health endpoint lags and lies, so its word
 * alone takes nothing out of service: a lying `unwell` would empty a service,
 * a lying `well` would keep a dead upstream. Connections decide: refused a few
 * times in a row, with none answered between, they mean that it is dead.
 */
export function createHealth(options: HealthOptions): Health {
  const {timers, probe, announcer} = options;
  const limit = options.refusals ?? defaultRefusals;
  let service = interpret(machine, () => {});
  let watched: string | undefined;
  let refused = 0;
  let looking = false;

  const verdict = () => service.machine.current as Verdict;

  function observe(observation: Observation): void {
    if (observation !== 'refused') {
      refused = 0;
      service.send(observation);
    } else if (++refused >= limit) {
      service.send('died');
    }
    announcer.setReachable(verdict() !== 'dead');
  }

  /** What was believed of one upstream does not hold for the next. */
  function begin(address: string | undefined): void {
    watched = address;
    refused = 0;
    service = interpret(machine, () => {});
  }

  async function look(): Promise<void> {
    const upstream = announcer.upstream();
    if (upstream?.address !== watched) begin(upstream?.address);
    if (upstream === undefined || looking) return;
    looking = true;
    const observation = await probe(upstream);
    looking = false;
    if (announcer.upstream()?.address === watched) observe(observation);
  }

  const ticking: Subscription = timers.every(
    options.interval ?? defaultInterval,
    () => void look(),
  );

  /** Only a refusal speaks of death; a full or slow upstream is alive. */
  function observeConnection(failure: Error | undefined): void {
    if (failure === undefined) {
      if (refused > 0 || verdict() !== 'ready') observe('answered');
    } else if (isRefusal(failure)) observe('refused');
  }

  return {verdict, observe, observeConnection, close: () => ticking.cancel()};
}

/** Creates a probe: the health path where there is one, else a connection. */
export function createProbe(
  timeout: number,
): (upstream: Upstream) => Promise<Observation> {
  return upstream =>
    upstream.healthPath === undefined
      ? connect(upstream.address, timeout)
      : ask(upstream.address, upstream.healthPath, timeout);
}

async function ask(
  address: Address,
  path: string,
  timeout: number,
): Promise<Observation> {
  try {
    const answer = await request(`http://${address}${path}`, {
      headersTimeout: timeout,
      bodyTimeout: timeout,
    });
    await answer.body.dump();
    return answer.statusCode === 200 ? 'well' : 'unwell';
  } catch (error) {
    return isRefusal(error) ? 'refused' : 'unwell';
  }
}

function connect(address: Address, timeout: number): Promise<Observation> {
  return new Promise(resolve => {
    const socket = createConnection(parseAddress(address));
    const end = (observation: Observation) => {
      socket.destroy();
      resolve(observation);
    };
    socket.setTimeout(timeout, () => end('unwell'));
    socket.once('connect', () => end('well'));
    socket.once('error', error => end(isRefusal(error) ? 'refused' : 'unwell'));
  });
}

const refusals: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

function isRefusal(error: unknown): boolean {
  return refusals.has((error as NodeJS.ErrnoException).code);
}

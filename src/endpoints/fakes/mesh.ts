import {createChannels} from '../../link/channel.js';
import {createFakeNetwork} from '../../link/fakes/fake-network.js';
import type {FakeNetwork} from '../../link/fakes/fake-network.js';
import type {Link} from '../../link/link.js';
import {createSilentLog} from '../../log/log.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import type {FakeTimers} from '../../time/fakes/fake-timers.js';
import type {Timers} from '../../time/timers.js';
import {createAnnouncer} from '../announcer.js';
import type {Announcer, Upstream} from '../announcer.js';
import {createEndpointTable} from '../endpoint-table.js';
import type {EndpointTable} from '../endpoint-table.js';
import {createMembership} from '../membership.js';
import type {Membership} from '../membership.js';
import {createRegistry} from '../registry.js';
import type {Registry, RegistryOptions} from '../registry.js';

/** A home in a test. */
export interface FakeHome {
  readonly name: string;
  readonly registry: Registry;
  /** Simulates a crash of the process. */
  kill(): void;
}

/** A node in a test. */
export interface FakeNode {
  readonly name: string;
  readonly announcer: Announcer;
  readonly table: EndpointTable;
  readonly membership: Membership;
  /** Opens a link to a home and closes the previous one. */
  connect(home: string): Promise<void>;
  /** Closes its link, as a lost connection does. */
  disconnect(): void;
  /** Simulates a crash of the process. */
  kill(): void;
  /** The instances of a service in its table, as `instance:state`. */
  view(service?: string): string[];
}

/** Options of a node that differ from the defaults. */
export interface FakeNodeOptions {
  readonly gate?: string;
  readonly region?: string;
  readonly services?: readonly string[] | 'all';
  /** Milliseconds by which its wall clock differs from that of other processes. */
  readonly clockOffset?: number;
  readonly warmUp?: number;
}

/** Homes and nodes on an in-memory network. */
export interface FakeMesh {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  /** Starts a home that links to all others and reconnects when a link closes. */
  home(name: string, options?: Partial<RegistryOptions>): Promise<FakeHome>;
  node(name: string, options?: FakeNodeOptions): FakeNode;
  /** Starts a node, announces its upstream if given, and attaches it to a home. */
  join(
    home: string,
    name: string,
    announced?: Upstream,
    options?: FakeNodeOptions,
  ): Promise<FakeNode>;
  /** Attaches a node to another home. */
  move(node: FakeNode, home: string): Promise<void>;
  /** Advances the time and lets promises settle. */
  advance(duration: number): Promise<void>;
}

/** Milliseconds for which a lease lasts without a renewal. */
export const lease = 10_000;
/** Milliseconds between renewals. */
export const renewal = 2000;
/** Milliseconds between attempts of a home to connect to other homes. */
const redialInterval = 1000;

/** The announcement of an upstream in a test. */
export function upstream(fields: Partial<Upstream> = {}): Upstream {
  return {
    service: 'crewbook',
    address: '127.0.0.1:9000',
    slots: 10,
    connections: 130,
    state: 'serving',
    ...fields,
  };
}

/** Creates homes and nodes on a fake network. */
export function createFakeMesh(
  start = 1_000_000,
  registryOptions: Partial<RegistryOptions> = {},
): FakeMesh {
  const timers = createFakeTimers(start);
  const network = createFakeNetwork(timers);
  const log = createSilentLog();
  const names: string[] = [];

  async function startHome(
    name: string,
    options: Partial<RegistryOptions> = {},
  ): Promise<FakeHome> {
    const registry = createRegistry({
      name,
      region: 'astana',
      timers,
      log,
      lease,
      ...registryOptions,
      ...options,
    });
    const ownNetwork = network.from(name);
    const connected = new Set<string>();
    await ownNetwork.listen(`${name}:nodes`, link =>
      registry.accept(createChannels(link)),
    );
    await ownNetwork.listen(`${name}:peers`, link =>
      registry.peer(createChannels(link)),
    );

    async function dial(other: string): Promise<void> {
      if (connected.has(other)) return;
      connected.add(other);
      try {
        const channels = createChannels(
          await ownNetwork.connect(`${other}:peers`),
        );
        channels.onClose(() => connected.delete(other));
        registry.peer(channels);
      } catch {
        connected.delete(other);
      }
    }

    const dialAll = () => {
      for (const other of names) if (other < name) void dial(other);
    };
    if (!names.includes(name)) names.push(name);
    dialAll();
    const dialTimer = timers.every(redialInterval, dialAll);
    return {
      name,
      registry,
      kill() {
        dialTimer.cancel();
        registry.close();
        network.kill(name);
      },
    };
  }

  function startNode(name: string, options: FakeNodeOptions = {}): FakeNode {
    const announcer = createAnnouncer({
      name,
      gate: options.gate ?? `${name}:gate`,
      failureDomain: 'hall-a',
      region: options.region ?? 'astana',
      timers: createOffsetTimers(timers, options.clockOffset ?? 0),
      log,
      warmUp: options.warmUp ?? 0,
    });
    const table = createEndpointTable({timers});
    const membership = createMembership({
      announcer,
      table,
      timers,
      renewal,
      services: options.services,
    });
    let link: Link | undefined;
    return {
      name,
      announcer,
      table,
      membership,
      async connect(home) {
        link?.close();
        link = await network.from(name).connect(`${home}:nodes`);
        membership.attach(createChannels(link));
      },
      disconnect: () => link?.close(),
      kill() {
        membership.close();
        network.kill(name);
      },
      view: (service = 'crewbook') =>
        table
          .instances(service)
          .map(one => `${one.instance}:${one.suspect ? 'suspect' : one.state}`),
    };
  }

  async function move(node: FakeNode, home: string): Promise<void> {
    const done = node.connect(home);
    await timers.advanceAsync(5);
    await done;
  }

  return {
    timers,
    network,
    home: startHome,
    node: startNode,
    async join(home, name, announced, options) {
      const node = startNode(name, options);
      if (announced !== undefined) node.announcer.announce(announced);
      await move(node, home);
      return node;
    },
    move,
    advance: duration => timers.advanceAsync(duration),
  };
}

/** Timers whose wall clock is off by `offset` milliseconds. */
function createOffsetTimers(timers: Timers, offset: number): Timers {
  return Object.assign(Object.create(timers) as Timers, {
    wall: () => timers.wall() + offset,
  });
}

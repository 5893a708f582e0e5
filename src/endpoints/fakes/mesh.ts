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

/** A home of the test. */
export interface FakeHome {
  readonly name: string;
  readonly registry: Registry;
  /** Ends it as its death would. */
  kill(): void;
}

/** A node of the test. */
export interface FakeNode {
  readonly name: string;
  readonly announcer: Announcer;
  readonly table: EndpointTable;
  readonly membership: Membership;
  /** Opens a link to a home; the one before is closed. */
  connect(home: string): Promise<void>;
  /** Closes its link, as a lost connection would. */
  disconnect(): void;
  /** Ends it as its death would. */
  kill(): void;
  /** The instances it knows of a service, as `instance:state`. */
  view(service?: string): string[];
}

/** How a node of the test differs from the usual one. */
export interface FakeNodeOptions {
  readonly gate?: string;
  readonly region?: string;
  readonly services?: readonly string[] | 'all';
  /** Milliseconds by which its wall clock differs from the others'. */
  readonly clockOffset?: number;
  readonly warmUp?: number;
}

/** Homes and nodes in memory. */
export interface FakeMesh {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  /** Starts a home that links to all others and links again when cut off. */
  home(name: string, options?: Partial<RegistryOptions>): Promise<FakeHome>;
  node(name: string, options?: FakeNodeOptions): FakeNode;
  /** Starts a node on a home, with an upstream where one is given. */
  join(
    home: string,
    name: string,
    said?: Upstream,
    options?: FakeNodeOptions,
  ): Promise<FakeNode>;
  /** Moves a node to a home. */
  move(node: FakeNode, home: string): Promise<void>;
  /** Moves time on, letting promises settle. */
  advance(duration: number): Promise<void>;
}

export const lease = 10_000;
export const renewal = 2000;
const redial = 1000;

/** What an upstream of the test says of itself. */
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
  safeguards: Partial<RegistryOptions> = {},
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
      ...safeguards,
      ...options,
    });
    const own = network.from(name);
    const open = new Set<string>();
    await own.listen(`${name}:nodes`, link =>
      registry.accept(createChannels(link)),
    );
    await own.listen(`${name}:peers`, link =>
      registry.peer(createChannels(link)),
    );

    async function dial(other: string): Promise<void> {
      if (open.has(other)) return;
      open.add(other);
      try {
        const channels = createChannels(await own.connect(`${other}:peers`));
        channels.onClose(() => open.delete(other));
        registry.peer(channels);
      } catch {
        open.delete(other);
      }
    }

    const dialAll = () => {
      for (const other of names) if (other < name) void dial(other);
    };
    if (!names.includes(name)) names.push(name);
    dialAll();
    const dialing = timers.every(redial, dialAll);
    return {
      name,
      registry,
      kill() {
        dialing.cancel();
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
    async join(home, name, said, options) {
      const node = startNode(name, options);
      if (said !== undefined) node.announcer.announce(said);
      await move(node, home);
      return node;
    },
    move,
    advance: duration => timers.advanceAsync(duration),
  };
}

/** Timers whose wall clock is wrong by `offset` milliseconds. */
function createOffsetTimers(timers: Timers, offset: number): Timers {
  return Object.assign(Object.create(timers) as Timers, {
    wall: () => timers.wall() + offset,
  });
}

import type {
  Configuration,
  Policy,
  Route,
  Service,
  Workspace,
} from '../../configuration/configuration.js';
import {emptyConfiguration} from '../../configuration/configuration.js';
import {createFleet} from '../../fleet/fleet.js';
import type {Fleet} from '../../fleet/fleet.js';
import type {Hello, ProcessKind} from '../../fleet/messages.js';
import {createChannels} from '../../link/channel.js';
import {createFakeNetwork} from '../../link/fakes/fake-network.js';
import type {FakeNetwork} from '../../link/fakes/fake-network.js';
import type {Address} from '../../link/link.js';
import {createSilentLog} from '../../log/log.js';
import {createRandom} from '../../random/random.js';
import {commonCodes} from '../../result/codes.js';
import {failure, success} from '../../result/failure.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import type {FakeTimers} from '../../time/fakes/fake-timers.js';
import {createDistributor} from '../distributor.js';
import type {Distributor, DistributorOptions} from '../distributor.js';
import {createFreshnessTracker} from '../freshness-tracker.js';
import {createHomeConnection} from '../home-connection.js';
import type {HomeConnection} from '../home-connection.js';
import type {HomeConnectionOptions} from '../home-connection-options.js';
import type {HomeAddress} from '../../fleet/messages.js';
import {createSectionSource} from '../section-source.js';
import type {SectionSource} from '../section-source.js';
import {createSubscriber} from '../subscriber.js';
import type {Subscriber, SubscriberOptions} from '../subscriber.js';

/** The configuration that the operators of a test have accepted. */
export interface Operator {
  current(): Configuration;
  onChange(observe: () => void): void;
  /** Accepts the next version, with one change. */
  accept(change: Change): void;
  /** The accepted configuration, even if `current` does not show it yet. */
  accepted(): Configuration;
}

/** One accepted change. */
export interface Change {
  /** Services to put, each with one route `/NAME` and the policy `usual`. */
  readonly put?: readonly string[];
  readonly remove?: readonly string[];
  readonly putWorkspaces?: readonly Workspace[];
  readonly removeWorkspaces?: readonly string[];
  /** Deadline of the policy `usual`; changing it changes every section. */
  readonly deadline?: number;
}

/** A home in a test. */
export interface TestHome {
  readonly name: string;
  readonly address: Address;
  readonly distributor: Distributor;
  readonly fleet: Fleet;
  /** Set to false so that no quorum confirms the state of this home. */
  quorum: boolean;
  /** Starts the process again at its address, after `network.kill`. */
  restart(): Promise<void>;
}

/** A node in a test. */
export interface TestNode {
  readonly home: HomeConnection;
  readonly subscriber: Subscriber;
  /** Versions in the order in which they came into force. */
  readonly versions: number[];
}

/** Processes on a fake network with fake time. */
export interface TestCluster {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  control(
    name: string,
    operator: Operator,
    options?: Partial<DistributorOptions>,
    peerCount?: number,
    homes?: () => readonly HomeAddress[],
  ): Promise<TestHome>;
  relay(
    name: string,
    sources: readonly Address[],
    options?: Partial<DistributorOptions>,
  ): Promise<TestHome & TestNode>;
  node(
    name: string,
    homes: ReadonlyArray<Address | HomeAddress>,
    options?: Partial<SubscriberOptions>,
    homeOptions?: Partial<HomeConnectionOptions>,
  ): TestNode;
}

/** Creates an operator with an empty configuration. */
export function createOperator(): Operator {
  let configuration = emptyConfiguration;
  const observers: Array<() => void> = [];
  return {
    current: () => configuration,
    accepted: () => configuration,
    onChange: observe => void observers.push(observe),
    accept(change) {
      configuration = applyChange(configuration, change);
      for (const observe of observers) observe();
    },
  };
}

function applyChange(before: Configuration, change: Change): Configuration {
  const services = new Map<string, Service>(before.services);
  const routes = new Map<string, Route>(before.routes);
  const policies = new Map<string, Policy>(before.policies);
  if (!policies.has('usual') || change.deadline !== undefined) {
    policies.set('usual', makePolicy(change.deadline ?? 1000));
  }
  for (const name of change.remove ?? []) {
    services.delete(name);
    routes.delete(name);
  }
  for (const name of change.put ?? []) {
    services.set(name, {name, slowStart: before.version});
    routes.set(name, {
      name,
      prefix: `/${name}`,
      methods: [],
      service: name,
      policy: 'usual',
    });
  }
  const version = before.version + 1;
  const workspaces = changeWorkspaces(before, change);
  return {...before, version, services, routes, policies, workspaces};
}

/** As in an `ItemStore`, the map is the same until a workspace changes. */
function changeWorkspaces(
  {workspaces}: Configuration,
  {putWorkspaces = [], removeWorkspaces = []}: Change,
): ReadonlyMap<string, Workspace> {
  if (putWorkspaces.length + removeWorkspaces.length === 0) return workspaces;
  const changed = new Map(workspaces);
  for (const name of removeWorkspaces) changed.delete(name);
  for (const workspace of putWorkspaces) changed.set(workspace.name, workspace);
  return changed;
}

function makePolicy(deadline: number): Policy {
  return {
    name: 'usual',
    priority: 'normal',
    deadline,
    attempts: 1,
    repeatability: 'once',
    bodyLimit: 1024,
    objective: {target: 0.99, latency: 100},
  };
}

/** Creates a cluster without processes; a message takes 1 ms one way. */
export function createTestCluster(seed = 1): TestCluster {
  const timers = createFakeTimers();
  const network = createFakeNetwork(timers);
  const log = createSilentLog();
  let port = 1000;
  let lastSeed = seed;
  const shared = () => ({timers, log, random: createRandom(++lastSeed)});
  const makeHello = (kind: ProcessKind, name: string): Hello => ({
    kind,
    name,
    failureDomain: 'a',
    region: 'r',
  });

  async function startHome(
    self: Hello,
    source: SectionSource,
    barrier: DistributorOptions['barrier'],
    confirmation: Pick<HomeConnection, 'asOf' | 'confirmedAt'>,
    options: Partial<DistributorOptions>,
    peerCount = 0,
    homes: () => readonly HomeAddress[] = () => [],
  ) {
    const {name} = self;
    const address = `127.0.0.1:${++port}`;

    async function start() {
      const distributor = createDistributor({
        source,
        barrier,
        asOf: confirmation.asOf,
        confirmedAt: confirmation.confirmedAt,
        batchWindow: 0,
        ...shared(),
        ...options,
      });
      const {position} = distributor;
      const fleet = createFleet({
        ...{self, timers, log, position},
        peerCount: () => peerCount,
        homes,
      });
      fleet.onHello((_hello, channels) => distributor.accept(channels));
      await network.from(name).listen(address, link => {
        fleet.accept(createChannels(link));
      });
      return {distributor, fleet};
    }

    return {
      name,
      address,
      ...(await start()),
      restart: async () => void (await start()),
    };
  }

  function startNode(
    self: Hello,
    homes: ReadonlyArray<Address | HomeAddress>,
    options: Partial<SubscriberOptions>,
    homeOptions: Partial<HomeConnectionOptions>,
  ): TestNode {
    const home = createHomeConnection({
      network: network.from(self.name),
      homes,
      self,
      ...shared(),
      ...homeOptions,
    });
    const subscriber = createSubscriber({home, ...shared(), ...options});
    const versions: number[] = [];
    subscriber.onSwitch(next => versions.push(next.version));
    return {home, subscriber, versions};
  }

  return {
    timers,
    network,
    async control(name, operator, options = {}, peerCount = 0, homes) {
      const quorumSwitch = {quorum: true};
      const barrier = async () =>
        quorumSwitch.quorum
          ? success(operator.current().version)
          : failure(commonCodes.unreachable, 'no quorum');
      const freshness = createFreshnessTracker(barrier, timers);
      const source = createSectionSource(operator);
      const self = makeHello('control', name);
      const served = await startHome(
        self,
        source,
        barrier,
        freshness,
        options,
        peerCount,
        homes,
      );
      return Object.assign(quorumSwitch, served);
    },
    async relay(name, sources, options = {}) {
      const self = makeHello('relay', name);
      const node = startNode(self, sources, {}, {});
      const {subscriber, home} = node;
      const served = await startHome(
        self,
        subscriber.sections,
        subscriber.barrier,
        home,
        options,
      );
      home.onChannels(served.fleet.report);
      return {quorum: true, ...served, ...node};
    },
    node: (name, homes, options = {}, homeOptions = {}) =>
      startNode(makeHello('node', name), homes, options, homeOptions),
  };
}

import type {Configuration} from '../../src/configuration/configuration.js';
import {createHomeConnection} from '../../src/distribution/home-connection.js';
import type {HomeConnection} from '../../src/distribution/home-connection.js';
import {createSubscriber} from '../../src/distribution/subscriber.js';
import type {Subscriber} from '../../src/distribution/subscriber.js';
import {Network} from '../../src/link/link.js';
import type {Address, Link, Listener} from '../../src/link/link.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import type {Random} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import type {Command, NodesSetup, Switch, Reply} from './messages.js';
import {
  countBytes,
  readMemory,
  readSetup,
  readUsage,
  serveCommands,
  sendReply,
  wallTime,
} from './stand-in.js';

/**
 * A process with many stand-in nodes, each with its own link and subscriber.
 */

interface StandIn {
  readonly home: HomeConnection;
  readonly subscriber: Subscriber;
}

const setup = readSetup<NodesSetup>();
const timers = createTimers();
const random = createRandom(setup.seed);
const log = createLog(setup.name, 'error');
const counted = countBytes(createInterruptibleNetwork(createTcpNetwork()));
let isAway = false;
let switches: Switch[] = [];
let standIns: StandIn[] = [];

/** Creates a network that refuses connections while `isAway` is set. */
function createInterruptibleNetwork(inner: Network): Network {
  return new (class extends Network {
    listen(): Promise<Listener> {
      throw new Error('stand-in nodes accept no links');
    }

    connect(address: Address): Promise<Link> {
      if (isAway)
        return Promise.reject(new Error('the nodes are disconnected'));
      return inner.connect(address);
    }
  })();
}

/** Disconnects all nodes, or allows them to reconnect. */
function setAway(next: boolean): void {
  isAway = next;
  if (!next) return;
  for (const {home} of standIns) home.leave('disconnected by the bench');
}

function chooseServices(randomSource: Random): readonly string[] | 'all' {
  if (setup.subscribed === 0) return 'all';
  const names = new Set<string>();
  while (names.size < Math.min(setup.subscribed, setup.services)) {
    names.add(`service-${randomSource.integer(setup.services)}`);
  }
  return [...names];
}

function createStandIn(node: number): StandIn {
  const home = createHomeConnection({
    network: counted.network,
    homes: setup.homes,
    self: {
      kind: 'node',
      name: `${setup.name}-${node}`,
      failureDomain: 'hall-a',
      region: 'astana',
    },
    timers,
    random,
    log,
  });
  const services = chooseServices(random);
  const subscriber = createSubscriber({home, services, timers, random, log});
  subscriber.onSwitch(({version}: Configuration) => {
    switches.push({node, version, at: wallTime()});
  });
  return {home, subscriber};
}

function countSynced(): Reply {
  const versions = standIns.map(one => one.subscriber.current()?.version);
  const knownVersions = versions.filter(version => version !== undefined);
  const least = knownVersions.length > 0 ? Math.min(...knownVersions) : 0;
  return {kind: 'synced', nodes: knownVersions.length, least};
}

function start(): void {
  for (let node = 0; node < setup.nodes; node++) {
    standIns.push(createStandIn(node));
  }
}

/** Restarts all nodes of this process at the same time. */
function restartAll(): void {
  for (const {home, subscriber} of standIns) {
    home.stop();
    subscriber.stop();
  }
  standIns = [];
  start();
}

async function execute(command: Command): Promise<Reply> {
  switch (command.kind) {
    case 'usage':
      return {kind: 'usage', usage: readUsage(counted)};
    case 'memory':
      return readMemory();
    case 'synced':
      return countSynced();
    case 'switches': {
      const reply: Reply = {kind: 'switches', switches};
      switches = [];
      return reply;
    }
    case 'drop':
      restartAll();
      return {kind: 'drop'};
    case 'away':
      setAway(command.isAway);
      return {kind: 'away'};
    default:
      throw new Error(`nodes do not support ${command.kind}`);
  }
}

start();
serveCommands(execute);
sendReply({kind: 'ready', address: ''});

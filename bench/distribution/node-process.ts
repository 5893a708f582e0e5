import type {Configuration} from '../../src/configuration/configuration.js';
import {createHome} from '../../src/distribution/home.js';
import type {Home} from '../../src/distribution/home.js';
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

/** A process of many stand-in nodes, each with its own link and subscriber. */

interface StandIn {
  readonly home: Home;
  readonly subscriber: Subscriber;
}

const setup = readSetup<NodesSetup>();
const timers = createTimers();
const random = createRandom(setup.seed);
const log = createLog(setup.name, 'error');
const counted = countBytes(createAwayNetwork(createTcpNetwork()));
let isAway = false;
let switches: Switch[] = [];
let standIns: StandIn[] = [];

/** A network on which nothing can be reached while the nodes are away. */
function createAwayNetwork(inner: Network): Network {
  return new (class extends Network {
    listen(): Promise<Listener> {
      throw new Error('stand-in nodes accept no links');
    }

    connect(address: Address): Promise<Link> {
      if (isAway) return Promise.reject(new Error('away'));
      return inner.connect(address);
    }
  })();
}

/** All nodes lose their links, or may reach their homes again. */
function setAway(next: boolean): void {
  isAway = next;
  if (!next) return;
  for (const {home} of standIns) home.leave('the bench sent it away');
}

function chooseServices(from: Random): readonly string[] | 'all' {
  if (setup.subscribed === 0) return 'all';
  const names = new Set<string>();
  while (names.size < Math.min(setup.subscribed, setup.services)) {
    names.add(`service-${from.integer(setup.services)}`);
  }
  return [...names];
}

function createStandIn(node: number): StandIn {
  const home = createHome({
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
  const known = versions.filter(version => version !== undefined);
  const least = known.length > 0 ? Math.min(...known) : 0;
  return {kind: 'synced', nodes: known.length, least};
}

function start(): void {
  for (let node = 0; node < setup.nodes; node++) {
    standIns.push(createStandIn(node));
  }
}

/** All nodes of this process die and come back at once. */
function drop(): void {
  for (const {home, subscriber} of standIns) {
    home.stop();
    subscriber.stop();
  }
  standIns = [];
  start();
}

async function answer(ask: Command): Promise<Reply> {
  switch (ask.kind) {
    case 'usage':
      return {kind: 'usage', usage: readUsage(counted)};
    case 'memory':
      return readMemory();
    case 'synced':
      return countSynced();
    case 'switches': {
      const told: Reply = {kind: 'switches', switches};
      switches = [];
      return told;
    }
    case 'drop':
      drop();
      return {kind: 'drop'};
    case 'away':
      setAway(ask.isAway);
      return {kind: 'away'};
    default:
      throw new Error(`nodes do not know ${ask.kind}`);
  }
}

start();
serveCommands(answer);
sendReply({kind: 'ready', address: ''});

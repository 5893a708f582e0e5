import type {Configuration} from '../../src/configuration/configuration.js';
import {createHome} from '../../src/distribution/home.js';
import type {Home} from '../../src/distribution/home.js';
import {createSubscriber} from '../../src/distribution/subscriber.js';
import type {Subscriber} from '../../src/distribution/subscriber.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import type {Random} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import type {Ask, NodesSetup, Switch, Told} from './messages.js';
import {
  countBytes,
  readSetup,
  readUsage,
  serveAsks,
  tell,
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
const counted = countBytes(createTcpNetwork());
let switches: Switch[] = [];
let standIns: StandIn[] = [];

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

function countSynced(): Told {
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

async function answer(ask: Ask): Promise<Told> {
  switch (ask.kind) {
    case 'usage':
      return {kind: 'usage', usage: readUsage(counted)};
    case 'synced':
      return countSynced();
    case 'switches': {
      const told: Told = {kind: 'switches', switches};
      switches = [];
      return told;
    }
    case 'drop':
      drop();
      return {kind: 'drop'};
    default:
      throw new Error(`nodes do not know ${ask.kind}`);
  }
}

start();
serveAsks(answer);
tell({kind: 'ready', address: ''});

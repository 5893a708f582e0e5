import type {Response, Subscribe} from '../../src/distribution/messages.js';
import {makeNonce} from '../../src/distribution/proof-requests.js';
import type {Hello} from '../../src/fleet/messages.js';
import {createChannels} from '../../src/link/channel.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createTimers} from '../../src/time/timers.js';
import type {Command, NodesSetup, Reply} from './messages.js';
import {
  countBytes,
  readSetup,
  readUsage,
  serveCommands,
  sendReply,
} from './stand-in.js';

/**
 * A process of nodes that return at once: each asks for its state, waits when
 * told to, pings, and drops what it gets, so that hundreds fit into it.
 */

const heartbeat = 1000;

const setup = readSetup<NodesSetup>();
const timers = createTimers();
const counted = countBytes(createTcpNetwork());
/** The version of each node that has one. */
const versions = new Map<number, number>();

async function join(node: number): Promise<void> {
  const link = await counted.network.connect(setup.homes[0]!.address);
  const channels = createChannels(link);
  const fleet = channels.on('fleet');
  const configuration = channels.on('configuration');
  const hello: Hello = {
    kind: 'node',
    name: `${setup.name}-${node}`,
    failureDomain: 'hall-a',
    region: 'astana',
  };
  const subscribe: Subscribe = {
    kind: 'subscribe',
    subscription: 1,
    services: 'all',
    complete: false,
    nonce: makeNonce(),
  };
  let number = 0;
  fleet.onMessage(() => {});
  fleet.send(hello);
  timers.every(heartbeat, () => {
    fleet.send({kind: 'ping', number: ++number, version: versions.get(node)});
  });
  configuration.onMessage(body => {
    const response = body as Response;
    if (response.kind === 'push') versions.set(node, response.version);
    if (response.kind !== 'later') return;
    timers.after(response.after, () => configuration.send(subscribe));
  });
  configuration.send(subscribe);
}

async function answer(ask: Command): Promise<Reply> {
  switch (ask.kind) {
    case 'usage':
      return {kind: 'usage', usage: readUsage(counted)};
    case 'synced': {
      const least = Math.min(...versions.values());
      const nodes = versions.size;
      return {kind: 'synced', nodes, least: nodes > 0 ? least : 0};
    }
    default:
      throw new Error(`a herd does not know ${ask.kind}`);
  }
}

for (let node = 0; node < setup.nodes; node++) void join(node);
serveCommands(answer);
sendReply({kind: 'ready', address: ''});

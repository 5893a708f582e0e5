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
 * A process with a herd of nodes that reconnect at the same time. Each node
 * subscribes, retries later if the home postpones it, sends heartbeats, and
 * discards the configuration it receives, so that one process can run hundreds.
 */

const heartbeatInterval = 1000;

const setup = readSetup<NodesSetup>();
const timers = createTimers();
const counted = countBytes(createTcpNetwork());
/** Latest version by node; nodes without a configuration are absent. */
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
  timers.every(heartbeatInterval, () => {
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

async function execute(command: Command): Promise<Reply> {
  switch (command.kind) {
    case 'usage':
      return {kind: 'usage', usage: readUsage(counted)};
    case 'synced': {
      const least = Math.min(...versions.values());
      const nodes = versions.size;
      return {kind: 'synced', nodes, least: nodes > 0 ? least : 0};
    }
    default:
      throw new Error(`a herd does not support ${command.kind}`);
  }
}

for (let node = 0; node < setup.nodes; node++) void join(node);
serveCommands(execute);
sendReply({kind: 'ready', address: ''});

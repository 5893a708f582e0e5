import process from 'node:process';
import {createRegistry} from '../../src/endpoints/registry.js';
import {createChannels} from '../../src/link/channel.js';
import type {Channels} from '../../src/link/channel.js';
import type {Link} from '../../src/link/link.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createSilentLog} from '../../src/log/log.js';
import {createTimers} from '../../src/time/timers.js';
import {createCrowd} from './crowd.js';
import type {CrowdNodes} from './crowd.js';
import type {HomeCommand, HomeKind, HomeReport} from './messages.js';
import {createNaiveRegistry} from './naive-registry.js';

/**
 * A home of the bench: `node home.js NAME KIND`, controlled over Node.js IPC.
 */

const [name, kind] = process.argv.slice(2) as [string, HomeKind];
const timers = createTimers();
const network = createTcpNetwork();
const nodeLinks: Link[] = [];
const peerLinks: Link[] = [];
const home =
  kind === 'naive'
    ? createNaiveRegistry(timers)
    : createRegistry({
        name,
        region: 'astana',
        timers,
        log: createSilentLog(),
        lease: 10_000,
      });

const report = (message: HomeReport) => process.send!(message);

function track(links: Link[], link: Link): Channels {
  links.push(link);
  return createChannels(link);
}

const sumBytes = (links: readonly Link[]) =>
  links.reduce((sum, link) => sum + link.bytesIn + link.bytesOut, 0);

const nodes = await network.listen('127.0.0.1:0', link =>
  home.accept(track(nodeLinks, link)),
);
const peers = await network.listen('127.0.0.1:0', link =>
  home.peer(track(peerLinks, link)),
);

let crowd: CrowdNodes | undefined;

process.on('message', async (command: HomeCommand) => {
  if (command.kind === 'crowd') {
    crowd = createCrowd(home, timers, command.crowd);
    return;
  }
  if (command.kind === 'churn') {
    await crowd!.churn(command.restarts, command.milliseconds);
    report({kind: 'churned'});
    return;
  }
  if (command.kind === 'link') {
    for (const address of command.peers) {
      home.peer(track(peerLinks, await network.connect(address)));
    }
    return;
  }
  const {user, system} = process.cpuUsage();
  report({
    kind: 'sample',
    sample: {
      cpu: user + system,
      nodeBytes: sumBytes(nodeLinks),
      peerBytes: sumBytes(peerLinks),
      memory: process.memoryUsage.rss(),
    },
  });
});
process.on('disconnect', () => process.exit(0));
report({kind: 'ready', nodes: nodes.address, peers: peers.address});

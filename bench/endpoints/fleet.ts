import process from 'node:process';
import {createAnnouncer} from '../../src/endpoints/announcer.js';
import type {Announcer, Upstream} from '../../src/endpoints/announcer.js';
import {createEndpointTable} from '../../src/endpoints/endpoint-table.js';
import type {EndpointTable} from '../../src/endpoints/endpoint-table.js';
import {createMembership} from '../../src/endpoints/membership.js';
import type {Membership} from '../../src/endpoints/membership.js';
import type {Announcement} from '../../src/endpoints/messages.js';
import {createChannels} from '../../src/link/channel.js';
import type {Link} from '../../src/link/link.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import {createSilentLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import type {Event, FleetCommand, FleetPlan, FleetReport} from './messages.js';

/** Stand-in nodes, each with a link of its own: real parts, one process. */

interface Node {
  readonly index: number;
  readonly service: string;
  readonly services: readonly string[];
  announcer: Announcer;
  table: EndpointTable;
  membership: Membership;
  link: Link;
}

/** What the nodes that call a service are waited for to know. */
interface Wait {
  readonly service: string;
  readonly instance: string;
  readonly knows: (known: Announcement | undefined) => boolean;
}

const renewal = 2000;
const longestWait = 20_000;
const timers = createTimers();
const network = createTcpNetwork();
const log = createSilentLog();
const nodes: Node[] = [];
const links: Link[] = [];
let plan: FleetPlan;
let turn = 0;

const report = (message: FleetReport) => process.send!(message);
const serviceName = (index: number) => `service-${index}`;
const pause = (duration: number) =>
  new Promise<void>(resolve => {
    timers.after(duration, resolve);
  });

function describe(node: {service: string}, state: Upstream['state']): Upstream {
  return {
    service: node.service,
    address: '127.0.0.1:9000',
    slots: 10,
    connections: 130,
    state,
  };
}

async function startNode(index: number, calls: readonly string[]) {
  const service = serviceName(index % plan.services);
  const announcer = createAnnouncer({
    name: `vm-${index}`,
    gate: `10.0.${index >> 8}.${index & 255}:7000`,
    failureDomain: 'hall-a',
    region: 'astana',
    timers,
    log,
    warmUp: 500,
  });
  const table = createEndpointTable({timers});
  const services = [...calls];
  const membership = createMembership({
    announcer,
    table,
    timers,
    renewal,
    services,
  });
  const link = await network.connect(plan.homes[index % plan.homes.length]!);
  links.push(link);
  membership.attach(createChannels(link));
  announcer.announce(describe({service}, 'serving'));
  return {index, service, services, announcer, table, membership, link};
}

async function start(next: FleetPlan): Promise<void> {
  plan = next;
  const random = createRandom(plan.seed);
  for (let index = 0; index < plan.nodes; index++) {
    const calls = new Set<string>();
    while (calls.size < Math.min(plan.calls, plan.services)) {
      calls.add(serviceName(random.integer(plan.services)));
    }
    nodes.push(await startNode(index, [...calls]));
    // Renewals of a fleet are spread, not in step.
    await pause(renewal / plan.nodes);
  }
  report({kind: 'started'});
}

/** Waits until each node that calls the service knows; pushes the times. */
async function waitFor(wait: Wait, times: number[]): Promise<number> {
  const begun = timers.now();
  const waiting = new Set(
    nodes.filter(
      node =>
        node.services.includes(wait.service) &&
        node.announcer.current()?.instance !== wait.instance,
    ),
  );
  while (waiting.size > 0 && timers.now() - begun < longestWait) {
    for (const node of waiting) {
      const known = node.table
        .instances(wait.service)
        .find(one => one.instance === wait.instance);
      if (!wait.knows(known)) continue;
      waiting.delete(node);
      times.push(timers.now() - begun);
    }
    await pause(1);
  }
  return waiting.size;
}

function waitForState(node: Node, state: string): Wait {
  return {
    service: node.service,
    instance: node.announcer.current()!.instance,
    knows: known => (known?.state ?? 'gone') === state,
  };
}

function stop(node: Node): void {
  node.membership.close();
  node.link.close();
}

async function restart(node: Node): Promise<void> {
  stop(node);
  Object.assign(node, await startNode(node.index, node.services));
}

function waitForIncarnation(node: Node, before: number): Wait {
  return {
    ...waitForState(node, 'serving'),
    knows: known => known !== undefined && known.incarnation > before,
  };
}

async function massRestart(share: number, times: number[]): Promise<number> {
  const count = Math.floor(nodes.length * share);
  const chosen = nodes.slice(0, count);
  const before = new Map(
    chosen.map(node => [node, node.announcer.current()!.incarnation]),
  );
  const waits = chosen.map(async node => {
    await restart(node);
    return waitFor(waitForIncarnation(node, before.get(node)!), times);
  });
  const missed = await Promise.all(waits);
  return missed.reduce((sum, one) => sum + one, 0);
}

async function play(event: Event, share: number): Promise<void> {
  const times: number[] = [];
  if (event === 'mass-restart') {
    const missed = await massRestart(share, times);
    report({kind: 'played', times, missed});
    return;
  }
  // Each event has another instance, so that none waits for the one before.
  const node = nodes[(turn++ * 17) % nodes.length]!;
  let missed = 0;
  if (event === 'drain') {
    node.announcer.announce(describe(node, 'draining'));
    missed = await waitFor(waitForState(node, 'draining'), times);
    node.announcer.announce(describe(node, 'serving'));
  } else {
    if (event === 'crash') stop(node);
    else node.membership.close();
    missed = await waitFor(waitForState(node, 'gone'), times);
    await restart(node);
  }
  report({kind: 'played', times, missed});
}

function sample(): void {
  const {user, system} = process.cpuUsage();
  report({
    kind: 'sample',
    sample: {
      cpu: user + system,
      nodeBytes: links.reduce(
        (sum, one) => sum + one.bytesIn + one.bytesOut,
        0,
      ),
      peerBytes: 0,
      memory: process.memoryUsage.rss(),
    },
  });
}

process.on('message', (command: FleetCommand) => {
  if (command.kind === 'start') void start(command.plan);
  else if (command.kind === 'sample') sample();
  else void play(command.event, command.share);
});
process.on('disconnect', () => process.exit(0));

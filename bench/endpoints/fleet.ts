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

/**
 * Stand-in nodes in one process. Each has its own link and the real announcer,
 * endpoint table and membership of a node.
 */

interface Node {
  readonly index: number;
  readonly service: string;
  readonly services: readonly string[];
  announcer: Announcer;
  table: EndpointTable;
  membership: Membership;
  link: Link;
}

/** A condition that each node calling a service waits for. */
interface Wait {
  readonly service: string;
  readonly instance: string;
  /** Whether the node's table shows the expected state of the instance. */
  readonly matches: (announcement: Announcement | undefined) => boolean;
}

const renewalInterval = 2000;
/** Milliseconds after which waiting nodes count as missed. */
const maxWait = 20_000;
const timers = createTimers();
const network = createTcpNetwork();
const log = createSilentLog();
const nodes: Node[] = [];
const links: Link[] = [];
let plan: FleetPlan;
let eventCount = 0;

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
    renewal: renewalInterval,
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
    // Spreads the renewals of the nodes evenly over the interval.
    await pause(renewalInterval / plan.nodes);
  }
  report({kind: 'started'});
}

/**
 * Waits until the condition holds at each node that calls the service; appends
 * their times. Returns the number of nodes where it did not hold in time.
 */
async function waitFor(wait: Wait, times: number[]): Promise<number> {
  const startedAt = timers.now();
  const waiting = new Set(
    nodes.filter(
      node =>
        node.services.includes(wait.service) &&
        node.announcer.current()?.instance !== wait.instance,
    ),
  );
  while (waiting.size > 0 && timers.now() - startedAt < maxWait) {
    for (const node of waiting) {
      const announcement = node.table
        .instances(wait.service)
        .find(one => one.instance === wait.instance);
      if (!wait.matches(announcement)) continue;
      waiting.delete(node);
      times.push(timers.now() - startedAt);
    }
    await pause(1);
  }
  return waiting.size;
}

function waitForState(node: Node, state: string): Wait {
  return {
    service: node.service,
    instance: node.announcer.current()!.instance,
    matches: announcement => (announcement?.state ?? 'gone') === state,
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
    matches: announcement =>
      announcement !== undefined && announcement.incarnation > before,
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
  // Each event uses a different instance, so that it is independent of the
  // previous event.
  const node = nodes[(eventCount++ * 17) % nodes.length]!;
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

import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {initTRPC} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import {packSection, splitSections} from '../../src/distribution/section.js';
import type {Section} from '../../src/distribution/messages.js';
import {createChannels} from '../../src/link/channel.js';
import type {Channel} from '../../src/link/channel.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import type {Link} from '../../src/link/link.js';
import {emptyConfiguration} from '../../src/configuration/configuration.js';

/**
 * Server of the codec comparison: sends the same pushes with one of three
 * codecs and receives the acknowledgements.
 */

/**
 * How messages are encoded: over tRPC, or as MessagePack with the keys in each
 * message (`maps`) or once per link (`records`).
 */
export type CodecMode = 'trpc' | 'maps' | 'records';

/** Parameters of a run, passed as JSON on the command line. */
export interface CodecSetup {
  readonly mode: CodecMode;
  readonly clients: number;
  readonly pushes: number;
  /** Milliseconds between pushes. */
  readonly gap: number;
}

/** Cost of a run in this process; processor time in milliseconds. */
export interface CodecCost {
  readonly processor: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
  readonly acknowledged: number;
}

const setup = JSON.parse(process.argv[2]!) as CodecSetup;
const digest = 'x'.repeat(22);
let acknowledged = 0;

/** Creates a section of typical size: a service with two routes. */
function makeSection(version: number): Section {
  const service = {name: 'service-1', slowStart: version};
  const routes = ['a', 'b'].map(name => ({
    name,
    prefix: `/service-1/${name}`,
    methods: ['GET', 'POST'],
    service: 'service-1',
    policy: 'lookups',
  }));
  const policy = {
    name: 'lookups',
    priority: 'normal' as const,
    deadline: 2000,
    attempts: 2,
    repeatability: 'idempotent' as const,
    bodyLimit: 65_536,
    objective: {target: 0.999, latency: 50},
  };
  const sections = splitSections({
    ...emptyConfiguration,
    version,
    services: new Map([[service.name, service]]),
    routes: new Map(routes.map(route => [route.name, route])),
    policies: new Map([[policy.name, policy]]),
  });
  return sections.get('service-1')!;
}

/**
 * Sends all pushes. One push in eight carries a section, as for a node that
 * subscribes to 12 of 100 services.
 */
async function pushAll(send: (push: unknown) => void, isPacked: boolean) {
  for (let version = 2; version < setup.pushes + 2; version++) {
    const base = version - 1;
    const head = {kind: 'push', subscription: 1, version};
    if (version % 8 === 0) {
      const section = makeSection(version);
      const sections = [
        isPacked ? packSection(section.service.name, section) : section,
      ];
      send({...head, sections, digest});
    } else send({...head, base});
    await sleep(setup.gap);
  }
  while (acknowledged < setup.clients * setup.pushes) await sleep(5);
}

function sendCost(bytes: {bytesIn: number; bytesOut: number}, start: number) {
  const {user, system} = process.cpuUsage();
  const processor = (user + system) / 1000 - start;
  process.send?.({...bytes, processor, acknowledged});
}

function processorTime(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1000;
}

async function serveLinks(sharesKeys: boolean): Promise<void> {
  const links: Link[] = [];
  const channels: Channel[] = [];
  let markComplete = () => {};
  const complete = new Promise<void>(done => (markComplete = done));
  const network = createTcpNetwork({sharesKeys});
  const listener = await network.listen('127.0.0.1:0', link => {
    links.push(link);
    const opened = createChannels(link);
    channels.push(opened.on('configuration'));
    opened.on('fleet').onMessage(() => acknowledged++);
    if (links.length === setup.clients) markComplete();
  });
  process.send?.(listener.address);
  await complete;
  const start = processorTime();
  await pushAll(push => {
    for (const channel of channels) channel.send(push);
  }, true);
  const sum = (pick: (link: Link) => number) =>
    links.reduce((total, link) => total + pick(link), 0);
  sendCost(
    {
      bytesIn: sum(link => link.bytesIn),
      bytesOut: sum(link => link.bytesOut),
    },
    start,
  );
}

const trpc = initTRPC.create();
const listeners = new Set<(push: unknown) => void>();

async function* subscribe(signal: AbortSignal | undefined) {
  const queue: unknown[] = [];
  let wakeUp = () => {};
  const listen = (push: unknown) => {
    queue.push(push);
    wakeUp();
  };
  listeners.add(listen);
  while (signal?.aborted !== true) {
    while (queue.length > 0) yield queue.shift();
    await new Promise<void>(done => (wakeUp = done));
  }
}

const router = trpc.router({
  pushes: trpc.procedure.subscription(({signal}) => subscribe(signal)),
  acknowledge: trpc.procedure
    .input((value: unknown) => value as {version: number})
    .mutation(() => void acknowledged++),
});

/** Type of the router, for clients. */
export type CodecRouter = typeof router;

async function serveTrpc(): Promise<void> {
  const sockets: Socket[] = [];
  const server = createServer();
  server.on('connection', socket => sockets.push(socket));
  applyWSSHandler({wss: new WebSocketServer({server}), router});
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  process.send?.(`127.0.0.1:${port}`);
  while (listeners.size < setup.clients) await sleep(5);
  const start = processorTime();
  const before = sumSocketBytes(sockets);
  await pushAll(push => {
    for (const listen of listeners) listen(push);
  }, false);
  const after = sumSocketBytes(sockets);
  sendCost(
    {
      bytesIn: after.bytesIn - before.bytesIn,
      bytesOut: after.bytesOut - before.bytesOut,
    },
    start,
  );
}

function sumSocketBytes(sockets: readonly Socket[]) {
  let bytesIn = 0;
  let bytesOut = 0;
  for (const socket of sockets) {
    bytesIn += socket.bytesRead;
    bytesOut += socket.bytesWritten;
  }
  return {bytesIn, bytesOut};
}

process.on('disconnect', () => process.exit(0));
if (setup.mode === 'trpc') await serveTrpc();
else await serveLinks(setup.mode === 'records');

/** A small mesh on loopback: upstreams made by the test, gates, one entry. */
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Claims} from '../../claims/claims.js';
import type {Configuration} from '../../configuration/configuration.js';
import {createSilentLog} from '../../log/log.js';
import {createRandom} from '../../random/random.js';
import {createTimers} from '../../time/timers.js';
import {createEntry} from '../entry.js';
import type {Entry, EntryOptions} from '../entry.js';
import {createGate} from '../gate.js';
import type {Gate, GateOptions} from '../gate.js';
import {createGateServer} from '../gate-server.js';
import type {Listener} from '../listener.js';
import type {Safeguards} from '../safeguards.js';
import {stockConfiguration} from './configurations.js';
import {announcementOf, createFakeEndpoints} from './fake-endpoints.js';
import type {FakeEndpoints} from './fake-endpoints.js';

/** One upstream with its gate. */
export interface Member {
  readonly instance: string;
  readonly upstream: Server;
  readonly gate: Gate;
  readonly server: Listener;
}

/** What a test's mesh is made of. */
export interface MeshOptions {
  /** One for each upstream: what it answers. */
  readonly upstreams: readonly RequestListener[];
  readonly configuration?: () => Configuration | undefined;
  readonly claims?: Claims;
  readonly gate?: Partial<GateOptions>;
  readonly entry?: Partial<EntryOptions>;
  readonly gateSafeguards?: Partial<Safeguards>;
  /** Places the entry on the node of the first upstream. */
  readonly sameNode?: boolean;
}

/** A running mesh. */
export interface Mesh {
  readonly members: readonly Member[];
  readonly endpoints: FakeEndpoints;
  readonly entry: Entry;
  /** The entry's URL, without a path. */
  readonly url: string;
  close(): Promise<void>;
}

const timers = createTimers();
const log = createSilentLog();
const headerLimit = 16 * 1024;
const bodyLimit = 64 * 1024 * 1024;
const grace = 20;

/** Starts a mesh; the test closes it. */
export async function createMesh(options: MeshOptions): Promise<Mesh> {
  const configuration = options.configuration ?? (() => stockConfiguration);
  const endpoints = createFakeEndpoints();
  const members: Member[] = [];
  for (const [index, listener] of options.upstreams.entries()) {
    const member = await createMember(
      `stock-desk-${index + 1}`,
      listener,
      configuration,
      options,
    );
    members.push(member);
    endpoints.put(
      announcementOf({
        instance: member.instance,
        gate: member.server.address,
        slots: options.gate?.slots ?? 20,
      }),
    );
  }
  const entry = createEntry({
    name: 'entry',
    failureDomain: 'rusayl-a',
    address: '127.0.0.1:0',
    configuration,
    endpoints,
    gate: options.sameNode === true ? members[0]!.gate : undefined,
    headerLimit,
    bodyLimit,
    grace,
    timers,
    random: createRandom(1),
    log,
    ...options.entry,
  });
  await entry.listen();
  return {
    members,
    endpoints,
    entry,
    url: `http://${entry.address}`,
    close: async () => {
      await entry.stop(0);
      await Promise.all(members.map(closeMember));
    },
  };
}

async function createMember(
  instance: string,
  listener: RequestListener,
  configuration: () => Configuration | undefined,
  options: MeshOptions,
): Promise<Member> {
  const upstream = createServer(listener);
  const gate = createGate({
    instance,
    service: 'stock-desk',
    upstream: await listen(upstream),
    slots: 20,
    connections: 110,
    queueLength: 64,
    configuration,
    claims: options.claims,
    timers,
    log,
    ...options.gate,
  });
  const server = createGateServer({
    address: '127.0.0.1:0',
    gate,
    headerLimit,
    bodyLimit,
    bodyIdle: 10_000,
    grace,
    timers,
    safeguards: options.gateSafeguards,
  });
  await server.listen();
  return {instance, upstream, gate, server};
}

/** Lets a server listen on a free port of loopback; gives its address. */
export async function listen(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function closeMember(member: Member): Promise<void> {
  member.upstream.closeAllConnections();
  await new Promise(resolve => member.upstream.close(resolve));
  await member.gate.stop(0);
  await member.server.stop(0);
}

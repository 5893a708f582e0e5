/**
 * A small mesh on loopback, with upstreams of the test, their gates and one
 * entry. The sockets are real. Time advances only when the test advances it, so
 * results do not depend on the speed of the machine.
 */
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo, Server as TcpServer} from 'node:net';
import type {Claims} from '../../claims/claims.js';
import type {Configuration} from '../../configuration/configuration.js';
import {createSilentLog} from '../../log/log.js';
import {createRandom} from '../../random/random.js';
import {createFakeTimers, settle} from '../../time/fakes/fake-timers.js';
import type {FakeTimers} from '../../time/fakes/fake-timers.js';
import {incarnationId} from '../../quarantine/messages.js';
import {createUpstreamReport} from '../decisions/upstream-report.js';
import {createEntry} from '../entry.js';
import type {Entry, EntryOptions} from '../entry.js';
import {createGate} from '../gate.js';
import type {Gate, GateOptions} from '../gate.js';
import {createGateServer} from '../transport/gate-server.js';
import type {GateServerOptions} from '../transport/gate-server.js';
import type {Listener} from '../transport/listener.js';
import {stockConfiguration} from './configurations.js';
import {announcementOf, createFakeEndpoints} from './fake-endpoints.js';
import type {FakeEndpoints} from './fake-endpoints.js';

/** An upstream and its gate. */
export interface Member {
  readonly instance: string;
  readonly upstream: Server;
  readonly gate: Gate;
  readonly server: Listener;
}

/** Options of `createMesh`. */
export interface MeshOptions {
  /** The request listeners of the upstreams, one for each. */
  readonly upstreams: readonly RequestListener[];
  readonly configuration?: () => Configuration | undefined;
  readonly claims?: Claims;
  readonly gate?: Partial<GateOptions>;
  readonly entry?: Partial<EntryOptions>;
  readonly gateServer?: Partial<GateServerOptions>;
  /** Created by default. */
  readonly timers?: FakeTimers;
  /** Whether the entry is on the node of the first upstream. */
  readonly sameNode?: boolean;
}

/** A running mesh. */
export interface Mesh {
  readonly members: readonly Member[];
  readonly endpoints: FakeEndpoints;
  readonly entry: Entry;
  readonly timers: FakeTimers;
  /** The entry's URL, without a path. */
  readonly url: string;
  /**
   * Replaces a gate by a new one, as if its node had been killed; `process`
   * names another process of the upstream.
   */
  restartGate(index: number, process?: string): Promise<void>;
  close(): Promise<void>;
}

const log = createSilentLog();
const headerLimit = 16 * 1024;
const bodyLimit = 64 * 1024 * 1024;
const gracePeriod = 20;

/** Starts a mesh, which the test must close. */
export async function createMesh(options: MeshOptions): Promise<Mesh> {
  const configuration = options.configuration ?? (() => stockConfiguration);
  const endpoints = createFakeEndpoints();
  const timers = options.timers ?? createFakeTimers();
  const members: Member[] = [];
  let lastIncarnation = 1;
  const upstreamAddresses: string[] = [];

  async function addMember(
    index: number,
    upstream: Server,
    incarnation: number,
    process?: string,
  ): Promise<void> {
    const instance = `stock-desk-${index + 1}`;
    const address = upstreamAddresses[index]!;
    const life = incarnationId(instance, incarnation);
    const report = createUpstreamReport({
      instance,
      process: process ?? instance,
      timers,
      log,
    });
    const gate = {life, report};
    const context = {configuration, options, timers, gate};
    const member = await createMember(instance, upstream, address, context);
    members[index] = member;
    endpoints.put(
      announcementOf({
        instance,
        incarnation,
        gate: member.server.address,
        slots: options.gate?.slots ?? 20,
      }),
    );
  }

  for (const [index, listener] of options.upstreams.entries()) {
    const upstream = createServer(listener);
    upstreamAddresses.push(await listen(upstream));
    await addMember(index, upstream, 1);
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
    gracePeriod,
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
    timers,
    url: `http://${entry.address}`,
    restartGate: async (index, process) => {
      const {upstream, gate, server} = members[index]!;
      await advanceUntilDone(timers, server.stop(0));
      await advanceUntilDone(timers, gate.stop(0));
      await addMember(index, upstream, ++lastIncarnation, process);
    },
    close: async () => {
      await advanceUntilDone(timers, entry.stop(0));
      await advanceUntilDone(timers, Promise.all(members.map(closeMember)));
    },
  };
}

/** What all members of a mesh share. */
interface MeshContext {
  readonly configuration: () => Configuration | undefined;
  readonly options: MeshOptions;
  readonly timers: FakeTimers;
  readonly gate: Pick<GateOptions, 'life' | 'report'>;
}

async function createMember(
  instance: string,
  upstream: Server,
  address: string,
  {configuration, options, timers, gate: gateOptions}: MeshContext,
): Promise<Member> {
  const gate = createGate({
    instance,
    service: 'stock-desk',
    upstream: address,
    slots: 20,
    connections: 110,
    queueLength: 64,
    configuration,
    claims: options.claims,
    timers,
    log,
    ...gateOptions,
    ...options.gate,
  });
  const server = createGateServer({
    address: '127.0.0.1:0',
    gate,
    headerLimit,
    bodyLimit,
    bodyIdle: 10_000,
    gracePeriod,
    timers,
    log,
    ...options.gateServer,
  });
  await server.listen();
  return {instance, upstream, gate, server};
}

/** Advances the time until `work` is settled. */
export async function advanceUntilDone(
  timers: FakeTimers,
  work: Promise<unknown>,
): Promise<void> {
  let isDone = false;
  const done = work.finally(() => (isDone = true));
  while (!isDone) {
    timers.advance(gracePeriod);
    await settle();
  }
  await done;
}

/** Lets a server listen on a free loopback port and returns its address. */
export async function listen(server: TcpServer): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function closeMember(member: Member): Promise<void> {
  member.upstream.closeAllConnections();
  await new Promise(resolve => member.upstream.close(resolve));
  await member.gate.stop(0);
  await member.server.stop(0);
}

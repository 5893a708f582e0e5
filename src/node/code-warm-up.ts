/**
 * Warms up the code of the request path, so that it is compiled before callers
 * need it. Each of the first thousand requests of a process takes three to four
 * times the usual processor time; on half a core that exceeds the capacity, and
 * the first callers after a start wait. Before the first caller arrives, a node
 * therefore sends requests through a temporary entry and gate to a fake upstream
 * in the same process.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, RequestListener} from 'node:http';
import {Registry} from 'prom-client';
import {createMetrics} from '../admin/metrics.js';
import {reportAttempt, reportOutcome} from '../admin/report-outcome.js';
import {emptyConfiguration} from '../configuration/configuration.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Upstream} from '../endpoints/announcer.js';
import type {Announcement} from '../endpoints/messages.js';
import {openServer} from '../link/http-server.js';
import type {Address} from '../link/link.js';
import {createSilentLog} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {CallerProtocol} from '../request/transport/caller-protocol.js';
import {createConnectionPool} from '../request/transport/connection-pool.js';
import type {ConnectionPool} from '../request/transport/connection-pool.js';
import {createEntry} from '../request/entry.js';
import {createGate} from '../request/gate.js';
import {createGateServer} from '../request/transport/gate-server.js';
import type {UpstreamProtocol} from '../request/transport/upstream-protocol.js';
import type {Timers} from '../time/timers.js';

/** Sample requests and responses like those of the deployment. */
export interface SampleTraffic {
  /** Headers of a request; names and values alternate. */
  readonly request: (id: string) => string[];
  /** Headers of the upstream's response; names and values alternate. */
  readonly answer: (request: IncomingMessage) => string[];
}

/** Options of `warmUpCode`. */
export interface CodeWarmUpOptions {
  /** Maximum number of requests that are sent. */
  readonly requests: number;
  /** Called before each request; false ends the warm-up. */
  readonly shouldContinue: () => boolean;
  readonly callers?: CallerProtocol | undefined;
  readonly upstreams?: ((upstream: Upstream) => UpstreamProtocol) | undefined;
  readonly traffic?: SampleTraffic | undefined;
  readonly timers: Timers;
  readonly random: Random;
}

const name = 'warm-up';
const anyPort = '127.0.0.1:0';
const log = createSilentLog();

/** Number of concurrent requests; enough that events interleave as under load. */
const concurrency = 4;

/** Every nth request has a body. */
const bodyPeriod = 4;

/** Size of a request or response body in bytes, similar to a booking or a lookup. */
const sampleBytes = 1024;

const headerLimit = 16 * 1024;
const slots = 8;

const configuration: Configuration = {
  ...emptyConfiguration,
  version: 1,
  services: new Map([[name, {name, slowStart: 0}]]),
  policies: new Map([
    [
      name,
      {
        name,
        priority: 'normal',
        deadline: 5_000,
        attempts: 2,
        repeatability: 'idempotent',
        bodyLimit: headerLimit,
        objective: {target: 0.99, latency: 100},
      },
    ],
  ]),
  routes: new Map([
    [name, {name, prefix: '/', methods: [], service: name, policy: name}],
  ]),
};

/** Runs the warm-up; resolves with the number of requests that were answered. */
export async function warmUpCode(options: CodeWarmUpOptions): Promise<number> {
  if (options.requests === 0) return 0;
  const upstream = await openServer(
    createServer(answerSample(options.traffic)),
    anyPort,
  );
  const gate = await createSampleGate(options, upstream.address);
  const entry = createSampleEntry(options, gate.address);
  await entry.listen();
  const connections = createConnectionPool({
    address: entry.address,
    limit: concurrency,
    timers: options.timers,
  });
  const answered = await sendAll(connections, options);
  await connections.close();
  await Promise.all([entry.stop(0), gate.stop()]);
  await upstream.close();
  return answered;
}

function answerSample(traffic: SampleTraffic | undefined): RequestListener {
  const body = Buffer.alloc(sampleBytes, 'x');
  return (request, response) => {
    const headers = traffic?.answer(request) ?? [];
    response.writeHead(200, [
      'content-length',
      String(sampleBytes),
      ...headers,
    ]);
    response.end(body);
  };
}

async function createSampleGate(options: CodeWarmUpOptions, address: Address) {
  const {timers, callers, upstreams} = options;
  const upstream: Upstream = {
    identity: name,
    service: name,
    address,
    slots,
    connections: slots,
    state: 'serving',
  };
  const gate = createGate({
    instance: name,
    service: name,
    upstream: address,
    slots,
    connections: slots,
    queueLength: slots,
    configuration: () => configuration,
    claims: undefined,
    ...(upstreams !== undefined && {protocol: upstreams(upstream)}),
    timers,
    log,
  });
  const server = createGateServer({
    address: anyPort,
    gate,
    headerLimit,
    bodyLimit: headerLimit,
    bodyIdle: 1_000,
    gracePeriod: 0,
    ...(callers !== undefined && {foreign: callers.foreign}),
    timers,
    log,
  });
  await server.listen();
  return {
    address: server.address,
    stop: async () => {
      await gate.stop(0);
      await server.stop(0);
    },
  };
}

function createSampleEntry(options: CodeWarmUpOptions, gate: Address) {
  const {timers, random, callers} = options;
  const metrics = createMetrics({registry: new Registry()});
  const announcement: Announcement = {
    instance: name,
    service: name,
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    gate,
    failureDomain: name,
    region: name,
    slots,
    connections: slots,
    since: 0,
  };
  return createEntry({
    name,
    failureDomain: name,
    address: anyPort,
    configuration: () => configuration,
    endpoints: {instances: () => [announcement], onChange: () => {}},
    headerLimit,
    bodyLimit: headerLimit,
    gracePeriod: 0,
    callerService: name,
    ...(callers !== undefined && {protocol: callers}),
    timers,
    random,
    log,
    instancePool: {onAttempt: attempt => reportAttempt(metrics, attempt)},
    onOutcome: outcome => reportOutcome(metrics, configuration, outcome),
  });
}

async function sendAll(
  connections: ConnectionPool,
  options: CodeWarmUpOptions,
): Promise<number> {
  let sent = 0;
  let answered = 0;

  async function sendSequentially(): Promise<void> {
    while (sent < options.requests && options.shouldContinue()) {
      if (await send(connections, sent++, options.traffic)) answered++;
    }
  }

  await Promise.all(Array.from({length: concurrency}, sendSequentially));
  return answered;
}

/** Sends one request; resolves with whether its response was complete. */
function send(
  connections: ConnectionPool,
  number: number,
  traffic: SampleTraffic | undefined,
): Promise<boolean> {
  const hasBody = number % bodyPeriod === 0;
  return new Promise(resolve => {
    connections.dispatch(
      {
        method: hasBody ? 'POST' : 'GET',
        path: `/${name}/${number}`,
        headers: ['host', name, ...(traffic?.request(String(number)) ?? [])],
        body: hasBody ? Buffer.alloc(sampleBytes, 'x') : null,
      },
      {
        onConnect: () => {},
        onHeaders: () => true,
        onData: () => true,
        onComplete: () => resolve(true),
        // A failure is not fatal; without warm-up the first requests are slower.
        onError: () => resolve(false),
      },
    );
  });
}

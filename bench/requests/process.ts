/** A process of the request benches: an upstream, or a node without control. */
import {Agent, createServer, request} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {createSilentLog} from '../../src/log/log.js';
import {createRandom} from '../../src/random/random.js';
import {createEntry} from '../../src/request/entry.js';
import {createGate} from '../../src/request/gate.js';
import {createGateServer} from '../../src/request/transport/gate-server.js';
import {createTimers} from '../../src/time/timers.js';
import {benchConfiguration} from './messages.js';
import type {Command, Report} from './messages.js';

const configuration = () => benchConfiguration;
const timers = createTimers();
const log = createSilentLog();
const headerLimit = 16 * 1024;
const bodyLimit = 1024 * 1024;
const bodyIdle = 10_000;
const anyPort = '127.0.0.1:0';

process.on('message', (order: Command) => void obey(order));

async function obey(order: Command): Promise<void> {
  if (order.kind === 'usage') return tellUsage();
  if (order.kind === 'upstream') return startUpstream(order);
  if (order.kind === 'bare') return startBare(order);
  return startNode(order);
}

function tell(report: Report): void {
  process.send!(report);
}

function tellUsage(): void {
  // Collected memory is not the connections'; `--expose-gc` makes it exact.
  globalThis.gc?.();
  const {user, system} = process.cpuUsage();
  const {rss, heapUsed} = process.memoryUsage();
  tell({
    kind: 'usage',
    processor: user + system,
    resident: rss,
    heap: heapUsed,
  });
}

function startUpstream(order: Command & {kind: 'upstream'}): void {
  const body = Buffer.alloc(order.bytes, 'x');
  const server = createServer({keepAliveTimeout: 75_000}, (_req, res) => {
    res.setHeader('content-length', body.length);
    if (order.work === 0) res.end(body);
    else timers.after(order.work, () => res.end(body));
  });
  listen(server);
}

function startBare(order: Command & {kind: 'bare'}): void {
  const [host, port] = order.target.split(':');
  const agent = new Agent({keepAlive: true, maxSockets: 256});
  const server = createServer(
    {keepAliveTimeout: 75_000},
    (incoming, answer) => {
      const {method, headers, url: path} = incoming;
      const outgoing = request(
        {agent, host, port, method, path, headers},
        from => {
          answer.writeHead(from.statusCode!, from.rawHeaders);
          from.pipe(answer);
        },
      );
      incoming.pipe(outgoing);
    },
  );
  listen(server);
}

function listen(server: Server): void {
  server.listen(0, '127.0.0.1', () => {
    const {port} = server.address() as AddressInfo;
    tell({kind: 'started', address: `127.0.0.1:${port}`});
  });
}

async function startNode(order: Command & {kind: 'node'}): Promise<void> {
  const gate =
    order.upstream === undefined
      ? undefined
      : createGate({
          instance: order.instance,
          service: 'stock-desk',
          upstream: order.upstream,
          slots: 100,
          connections: 110,
          queueLength: 64,
          configuration,
          claims: undefined,
          timers,
          log,
        });
  const server =
    gate &&
    createGateServer({
      address: anyPort,
      gate,
      headerLimit,
      bodyLimit,
      bodyIdle,
      timers,
      log,
    });
  await server?.listen();
  const instances = order.instances.map(announcement => ({
    ...announcement,
    gate: announcement.gate || server!.address,
  }));
  const entry = createEntry({
    name: order.instance,
    failureDomain: 'rusayl-a',
    address: anyPort,
    configuration,
    endpoints: {instances: () => instances, onChange: () => {}},
    gate,
    headerLimit,
    bodyLimit,
    timers,
    random: createRandom(order.seed),
    log,
  });
  await entry.listen();
  tell({kind: 'started', address: entry.address, gate: server?.address});
}

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

process.on('message', (command: Command) => void execute(command));

async function execute(command: Command): Promise<void> {
  if (command.kind === 'usage') return reportUsage();
  if (command.kind === 'upstream') return startUpstream(command);
  if (command.kind === 'bare') return startBare(command);
  return startNode(command);
}

function sendReport(report: Report): void {
  process.send!(report);
}

function reportUsage(): void {
  // Collects garbage, so that the heap figure shows what the connections hold;
  // this needs `--expose-gc`.
  globalThis.gc?.();
  const {user, system} = process.cpuUsage();
  const {rss, heapUsed} = process.memoryUsage();
  sendReport({
    kind: 'usage',
    processor: user + system,
    resident: rss,
    heap: heapUsed,
  });
}

function startUpstream(command: Command & {kind: 'upstream'}): void {
  const body = Buffer.alloc(command.bytes, 'x');
  const server = createServer({keepAliveTimeout: 75_000}, (_req, res) => {
    res.setHeader('content-length', body.length);
    if (command.work === 0) res.end(body);
    else timers.after(command.work, () => res.end(body));
  });
  listen(server);
}

function startBare(command: Command & {kind: 'bare'}): void {
  const [host, port] = command.target.split(':');
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
    sendReport({kind: 'started', address: `127.0.0.1:${port}`});
  });
}

async function startNode(command: Command & {kind: 'node'}): Promise<void> {
  const gate =
    command.upstream === undefined
      ? undefined
      : createGate({
          instance: command.instance,
          service: 'stock-desk',
          upstream: command.upstream,
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
  const instances = command.instances.map(announcement => ({
    ...announcement,
    gate: announcement.gate || server!.address,
  }));
  const entry = createEntry({
    name: command.instance,
    failureDomain: 'rusayl-a',
    address: anyPort,
    configuration,
    endpoints: {instances: () => instances, onChange: () => {}},
    gate,
    headerLimit,
    bodyLimit,
    timers,
    random: createRandom(command.seed),
    log,
  });
  await entry.listen();
  sendReport({kind: 'started', address: entry.address, gate: server?.address});
}

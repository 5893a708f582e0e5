import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {parseAddress} from '../link/address.js';
import type {Address, Listener} from '../link/link.js';
import type {Log} from '../log/log.js';
import {createRouter} from './router.js';
import {createOperatorService} from './service.js';
import type {ServiceOptions} from './service.js';

/** What the operators' server of a control process is made of. */
export interface OperatorServerOptions extends ServiceOptions {
  /** Where operators reach it. */
  readonly address: Address;
  /** The deployment's operator token; absent to let everyone change. */
  readonly token?: string;
  /** Largest request body in bytes. */
  readonly bodyLimit: number;
  readonly log: Log;
}

/** Connections at once; operators are few, and the rest must find room too. */
const connectionLimit = 256;

/** Milliseconds for a client to send its request. */
const receiveTimeouts = {headersTimeout: 5000, requestTimeout: 10_000} as const;

/** Opens the operators' API; rejects when the port is taken. */
export async function createOperatorServer(
  options: OperatorServerOptions,
): Promise<Listener> {
  const log = options.log.scope('operator');
  const service = createOperatorService(options);
  const handler = createHTTPHandler({
    router: createRouter(service, log),
    maxBodySize: options.bodyLimit,
    allowBatching: false,
    createContext: ({req}) => ({authorized: isAuthorized(req, options.token)}),
  });
  const answering = new Set<ServerResponse>();
  const server = createServer(receiveTimeouts, (request, response) => {
    answering.add(response);
    response.once('close', () => answering.delete(response));
    handler(request, response);
  });
  server.maxConnections = connectionLimit;
  await listen(server, options.address);
  const {port} = server.address() as AddressInfo;
  const {host} = parseAddress(options.address);
  return {
    address: `${host.includes(':') ? `[${host}]` : host}:${port}`,
    close() {
      service.stop();
      answering.forEach(endConnectionAfter);
      return close(server);
    },
  };
}

/** Compares digests, so that the time taken tells nothing of the token. */
function isAuthorized(
  request: IncomingMessage,
  token: string | undefined,
): boolean {
  if (token === undefined) return true;
  const shown = request.headers.authorization ?? '';
  return timingSafeEqual(digest(shown), digest(`Bearer ${token}`));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function listen(server: Server, address: Address): Promise<void> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/**
 * A connection kept open after its last answer would hold a planned stop up
 * until the client lets go of it.
 */
function endConnectionAfter(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close');
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

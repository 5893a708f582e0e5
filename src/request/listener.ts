/**
 * An HTTP listener with bounds: what node's parser refuses gets a numbered
 * answer, and a stop tells keep-alive callers before their connection closes.
 */
import {createServer} from 'node:http';
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import {Server as SocketServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import polka from 'polka';
import {parseAddress} from '../link/address.js';
import type {Address} from '../link/link.js';
import type {Timers} from '../time/timers.js';
import {requestCodes} from './codes.js';
import {createHttpAnswer, describe, refusalHeaders} from './http-answer.js';
import type {Refusal} from './messages.js';
import {refusal, refusalOf} from './refusal.js';

/** Options of `createListener`; times in milliseconds. */
export interface ListenerOptions {
  readonly address: Address;
  /** Largest head of a request, in bytes. */
  readonly headerLimit: number;
  /** Longest wait for the head of a request; 10000 unless given. */
  readonly headTimeout?: number;
  /** How long an unused connection is kept; 75000 unless given. */
  readonly keepAlive?: number;
  /** How long a stop serves what keep-alive callers still send; 500 unless given. */
  readonly grace?: number;
  readonly timers: Timers;
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void>;
}

/** A listener. */
export interface Listener {
  /** Where it listens; the port is known once `listen` has resolved. */
  readonly address: Address;
  /** Whether a stop has begun; answers then close their connection. */
  readonly stopping: boolean;
  readonly connections: number;
  listen(): Promise<void>;
  /**
   * Resolves when each connection has closed, at the latest after `deadline`;
   * called again, the earlier deadline counts.
   */
  stop(deadline: number): Promise<void>;
}

const defaultHeadTimeout = 10_000;
// Longer than the client side keeps an unused connection, so that it is the
// client that closes and no request crosses with the server's close.
const defaultKeepAlive = 75_000;
const defaultGrace = 500;

/** Creates a listener that does not listen yet. */
export function createListener(options: ListenerOptions): Listener {
  const {timers} = options;
  const server = createHttpServer(options);
  const sockets = new Set<Socket>();
  const {host, port} = parseAddress(options.address);
  let stopping = false;
  let pastGrace = false;
  let closed: Promise<void> | undefined;

  server.on('request', polka({onNoMatch: serve}).handler as RequestListener);
  server.on('checkContinue', serve);
  server.on('clientError', answerBadInput);
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });

  function serve(request: IncomingMessage, response: ServerResponse): void {
    response.once('close', () => {
      // An answer begun before the stop did not tell its caller to close.
      if (pastGrace) setImmediate(closeUnused);
    });
    // A caller may be gone before its answer; that is no fault of the node.
    response.on('error', () => response.destroy());
    options
      .handle(request, response)
      .catch(error => answerFault(error, response));
  }

  function listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.off('error', reject);
        resolve();
      });
    });
  }

  /** Closes connections that carry no request, heard of or not. */
  function closeUnused(): void {
    server.close();
    server.closeIdleConnections();
    for (const socket of sockets) {
      if (socket.bytesRead === 0) socket.destroy();
    }
  }

  function closeListening(): Promise<void> {
    return new Promise(resolve => {
      // Only the listening socket closes first. The server's own `close` would
      // close unused connections too, and cut a request that is on its way on
      // one; during the grace such requests are served and told to close.
      SocketServer.prototype.close.call(server, () => {
        grace.cancel();
        resolve();
      });
      const grace = timers.after(options.grace ?? defaultGrace, () => {
        pastGrace = true;
        closeUnused();
      });
    });
  }

  async function stop(deadline: number): Promise<void> {
    stopping = true;
    closed ??= closeListening();
    const limit = timers.after(deadline, () => server.closeAllConnections());
    await closed;
    limit.cancel();
  }

  return {
    get address() {
      const bound = server.address() as AddressInfo | null;
      return `${host}:${bound?.port ?? port}`;
    },
    get stopping() {
      return stopping;
    },
    get connections() {
      return sockets.size;
    },
    listen,
    stop,
  };
}

function createHttpServer(options: ListenerOptions): Server {
  const server = createServer({
    maxHeaderSize: options.headerLimit,
    headersTimeout: options.headTimeout ?? defaultHeadTimeout,
    // Uploads may take longer than any fixed bound; their pauses are bounded
    // where they are received.
    requestTimeout: 0,
    keepAliveTimeout: options.keepAlive ?? defaultKeepAlive,
    connectionsCheckingInterval: 1_000,
    noDelay: true,
  });
  server.requestTimeout = 0;
  return server;
}

/** Ends one request whose handling failed; the others go on. */
function answerFault(error: unknown, response: ServerResponse): void {
  const answer = createHttpAnswer(response);
  if (response.headersSent) answer.cut();
  else answer.refuse(refusalOf(error));
}

/** Answers what the parser refused; no request was made of it. */
function answerBadInput(error: NodeJS.ErrnoException, socket: Socket): void {
  if (socket.destroyed || !socket.writable) {
    socket.destroy();
    return;
  }
  const reason = badInput(error);
  const body = JSON.stringify(describe(reason));
  const headers = refusalHeaders(reason, Buffer.byteLength(body));
  const {status} = reason.code;
  const lines = [`HTTP/1.1 ${status} Refused`, 'connection: close'];
  for (let index = 0; index < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  }
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
}

function badInput(error: NodeJS.ErrnoException): Refusal {
  if (error.code === 'HPE_HEADER_OVERFLOW') {
    return refusal(requestCodes.headersTooLarge);
  }
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return refusal(requestCodes.headSlow);
  }
  return refusal(requestCodes.badRequest, error.message);
}

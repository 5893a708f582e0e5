/**
 * The connections to one address, never more than a limit. Each is an undici
 * client of its own without pipelining, so that a connection carries one
 * request at a time and its answer can belong to no other.
 */
import type {Socket} from 'node:net';
import {Client, buildConnector} from 'undici';
import type {Dispatcher} from 'undici';
import type {Address} from '../link/link.js';

/** Options of `createConnections`; times in milliseconds. */
export interface ConnectionsOptions {
  readonly address: Address;
  /** Connections open at once, at most. */
  readonly limit: number;
  /** Longest wait for a connection to open; 1000 unless given. */
  readonly connectTimeout?: number;
  /** How long an unused connection is kept; 60000 unless given. */
  readonly keepAlive?: number;
}

/** Hears of one request on a connection. */
export abstract class Handler {
  /** The request's first byte is about to be written. */
  abstract onConnect(abort: (reason?: Error) => void): void;

  /** An answer's head, or an interim one's; false pauses its body. */
  abstract onHeaders(
    status: number,
    headers: Buffer[],
    resume: () => void,
    reason: string,
  ): boolean;

  /** A part of the body; false pauses the rest until `resume`. */
  abstract onData(chunk: Buffer): boolean;

  abstract onComplete(): void;

  abstract onError(error: Error): void;
}

/** The connection that a request was given. */
export interface Connection {
  /**
   * Tells the other side that no answer is wanted; it ends the work and closes
   * its half, which ends the request with an error.
   */
  halfClose(): void;
}

/** The connections to one address. */
export interface Connections {
  /** Requests under way. */
  readonly busy: number;
  /** Clients made, at most the limit. */
  readonly size: number;
  /** Sends a request; undefined when every connection is in use. */
  dispatch(
    request: Dispatcher.DispatchOptions,
    handler: Handler,
  ): Connection | undefined;
  /** Lets go of connections that were not needed since the last call. */
  prune(): void;
  /** Closes each connection once it is free; resolves when all are closed. */
  close(): Promise<void>;
}

/** Creates the connections to one address; none is opened before its use. */
export function createConnections(options: ConnectionsOptions): Connections {
  const idle: Line[] = [];
  const all = new Set<Line>();
  let closed: Promise<unknown> | undefined;
  /** Fewest connections that were idle at once since the last pruning. */
  let spare = 0;

  function take(): Line | undefined {
    // The connection used last is the warmest; the others age out.
    const line = idle.pop();
    spare = Math.min(spare, idle.length);
    if (line !== undefined) return line;
    if (closed !== undefined || all.size >= options.limit) return undefined;
    const made = createLine(options);
    all.add(made);
    return made;
  }

  return {
    get busy() {
      return all.size - idle.length;
    },
    get size() {
      return all.size;
    },
    dispatch: (request, handler) => {
      const line = take();
      if (line === undefined) return undefined;
      const give = () => {
        line.renew();
        idle.push(line);
      };
      line.client.dispatch(request, watch(handler, give));
      return line;
    },
    prune: () => {
      for (const line of idle.splice(0, spare)) {
        all.delete(line);
        void line.client.close();
      }
      spare = idle.length;
    },
    close: async () => {
      closed ??= Promise.all([...all].map(line => line.client.close()));
      await closed;
    },
  };
}

/** A client and the socket that it uses now. */
interface Line extends Connection {
  readonly client: Client;
  /** Makes it fit for the next request. */
  renew(): void;
}

function createLine(options: ConnectionsOptions): Line {
  const keepAlive = options.keepAlive ?? 60_000;
  const connector = buildConnector({timeout: options.connectTimeout ?? 1_000});
  let socket: Socket | undefined;
  let isHalfClosed = false;

  const client = new Client(`http://${options.address}`, {
    pipelining: 1,
    connect: (target, done) =>
      connector(target, (...opened) => {
        socket = opened[1] ?? undefined;
        isHalfClosed = false;
        done(...opened);
      }),
    keepAliveTimeout: keepAlive,
    keepAliveMaxTimeout: keepAlive,
    // Deadlines are the caller's; the client must not add its own.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: -1,
  });

  return {
    client,
    halfClose: () => {
      isHalfClosed = true;
      socket?.end();
    },
    renew: () => {
      // A half-closed connection would take the next request and lose it.
      if (isHalfClosed) socket?.destroy();
    },
  };
}

/**
 * Passes everything to `handler` and tells once when the request has ended.
 * The end is passed on after the client's own work on it: a retry that came
 * back to the same client from inside its error handling would break an
 * assertion of the client's and end the process.
 *
 * The handler is of undici's older form, which gives the answer's headers as
 * they came; the newer form builds an object of them that no one here reads.
 */
function watch(
  handler: Handler,
  ended: () => void,
): Dispatcher.DispatchHandler {
  return {
    onConnect: abort => handler.onConnect(abort),
    onHeaders: (status, headers, resume, reason) =>
      handler.onHeaders(status, headers as Buffer[], resume, reason),
    onData: chunk => handler.onData(chunk),
    onComplete: () =>
      queueMicrotask(() => {
        ended();
        handler.onComplete();
      }),
    onError: error =>
      queueMicrotask(() => {
        ended();
        handler.onError(error);
      }),
  };
}

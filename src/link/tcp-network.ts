import {createConnection, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {Packr} from 'msgpackr';
import {parseAddress} from './address.js';
import {createFrameReader, encodeFrame} from './frame.js';
import {Link, Network} from './link.js';
import type {Address, Listener} from './link.js';

/** Settings of the TCP network, with defaults. */
export interface TcpNetworkOptions {
  /** Milliseconds to wait for a connection; default 2000. */
  readonly connectTimeout?: number;
  /** Largest message in bytes; a larger one closes the link. Default 64 MiB. */
  readonly messageLimit?: number;
  /**
   * Whether the keys of a message's shape travel once on each link and are
   * then referred to by number; both ends must agree. Default true.
   */
  readonly sharesKeys?: boolean;
}

const defaultConnectTimeout = 2000;
const defaultMessageLimit = 64 * 1024 * 1024;

/** Creates links over TCP, each message a length-prefixed MessagePack frame. */
export function createTcpNetwork(options: TcpNetworkOptions = {}): Network {
  const connectTimeout = options.connectTimeout ?? defaultConnectTimeout;
  const messageLimit = options.messageLimit ?? defaultMessageLimit;
  const sharesKeys = options.sharesKeys ?? true;
  const open = (socket: Socket) =>
    createTcpLink(socket, messageLimit, sharesKeys);

  return new (class extends Network {
    listen(address: Address, accept: (link: Link) => void): Promise<Listener> {
      const {host, port} = parseAddress(address);
      const server = createServer(socket => accept(open(socket)));
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, () => {
          server.off('error', reject);
          const bound = server.address() as AddressInfo;
          resolve({
            address: `${host}:${bound.port}`,
            close: () =>
              new Promise<void>(done => {
                server.close(() => done());
              }),
          });
        });
      });
    }

    connect(address: Address): Promise<Link> {
      const {host, port} = parseAddress(address);
      return new Promise((resolve, reject) => {
        const socket = createConnection({host, port});
        const abandon = (error: Error) => {
          socket.destroy();
          reject(error);
        };
        socket.setTimeout(connectTimeout, () =>
          abandon(new Error(`no connection to ${address} in time`)),
        );
        socket.once('error', abandon);
        socket.once('connect', () => {
          socket.setTimeout(0);
          socket.off('error', abandon);
          resolve(open(socket));
        });
      });
    }
  })();
}

/**
 * A link is ordered and never loses a message, so each end can refer to the
 * shapes that it sent before; a new link begins with none.
 */
function createPackr(sharesKeys: boolean): Packr {
  if (!sharesKeys) return new Packr({useRecords: false});
  return new Packr({sequential: true, useRecords: true});
}

function createTcpLink(
  socket: Socket,
  messageLimit: number,
  sharesKeys: boolean,
): Link {
  const encoder = createPackr(sharesKeys);
  const decoder = createPackr(sharesKeys);
  const backlog: unknown[] = [];
  let receive: ((message: unknown) => void) | undefined;
  let closed: (() => void) | undefined;
  let ended = false;

  const reader = createFrameReader(messageLimit, frame => {
    const message: unknown = decoder.unpack(frame);
    if (receive === undefined) backlog.push(message);
    else receive(message);
  });

  socket.setNoDelay(true);
  socket.setKeepAlive(true, 10_000);
  socket.on('data', chunk => {
    try {
      reader.push(chunk);
    } catch {
      socket.destroy();
    }
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    ended = true;
    closed?.();
  });

  return new (class extends Link {
    readonly peer = `${socket.remoteAddress}:${socket.remotePort}`;

    get pending(): number {
      return socket.writableLength;
    }

    get bytesIn(): number {
      return socket.bytesRead;
    }

    get bytesOut(): number {
      return socket.bytesWritten;
    }

    send(message: unknown): void {
      if (ended || socket.destroyed) return;
      socket.write(encodeFrame(encoder.pack(message)));
    }

    onMessage(receiver: (message: unknown) => void): void {
      receive = receiver;
      for (const message of backlog.splice(0)) receiver(message);
    }

    onClose(observer: () => void): void {
      closed = observer;
      if (ended) observer();
    }

    close(): void {
      socket.end();
    }
  })();
}

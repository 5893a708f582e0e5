import {createConnection, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {parseAddress} from './address.js';
import {Network} from './link.js';
import type {Address, Link, Listener} from './link.js';
import {createKeySharingCodec, createPlainCodec} from './codec.js';
import {createSocketLink} from './socket-link.js';

/** Options of `createTcpNetwork`. */
export interface TcpNetworkOptions {
  /** Timeout of a connection attempt in milliseconds; default 2000. */
  readonly connectTimeout?: number;
  /** Maximum message size in bytes; a larger one closes the link. Default 64 MiB. */
  readonly messageLimit?: number;
  /**
   * Whether the keys of a message shape are sent once on each link and are then
   * referred to by number; both ends must use the same value. Default true.
   */
  readonly sharesKeys?: boolean;
  /** Called if a link is closed because a message can't be decoded or handled. */
  readonly onFault?: (error: Error) => void;
}

/** Default timeout of a connection attempt in milliseconds. */
export const defaultConnectTimeout = 2000;
const defaultMessageLimit = 64 * 1024 * 1024;

/** Creates links over TCP, each message a length-prefixed MessagePack frame. */
export function createTcpNetwork(options: TcpNetworkOptions = {}): Network {
  const connectTimeout = options.connectTimeout ?? defaultConnectTimeout;
  const messageLimit = options.messageLimit ?? defaultMessageLimit;
  const sharesKeys = options.sharesKeys ?? true;
  const onFault = options.onFault ?? (() => {});
  const createCodec = sharesKeys ? createKeySharingCodec : createPlainCodec;
  const open = (socket: Socket) =>
    createSocketLink(socket, {messageLimit, codec: createCodec(), onFault});

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

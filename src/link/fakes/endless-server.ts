import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {Address} from '../link.js';

/** Bytes that a server sends without end. */
export interface EndlessBytes {
  readonly start?: string;
  /** Repeated until the connection closes; nothing if absent. */
  readonly piece?: string;
  /** Whether pieces are sent as fast as they are taken; else one by one. */
  readonly isFast?: boolean;
}

/** A server whose answers don't end. */
export interface EndlessServer {
  readonly address: Address;
  /** Number of connections that were accepted. */
  accepted(): number;
  /** Number of connections that are open. */
  open(): number;
  /** Resolves when a request has arrived on as many connections. */
  asked(count: number): Promise<void>;
  /** Resolves when no connection is open. */
  closed(): Promise<void>;
  close(): Promise<void>;
}

/** Starts a server that answers each connection as `bytesOf` says. */
export async function createEndlessServer(
  bytesOf: (connection: number) => EndlessBytes,
): Promise<EndlessServer> {
  const sockets = new Set<Socket>();
  let accepted = 0;
  let asked = 0;
  let observers: Array<() => void> = [];

  function notify(): void {
    for (const observe of observers.splice(0)) observe();
  }

  async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise<void>(resolve => observers.push(resolve));
    }
  }

  const server = createServer(socket => {
    const bytes = bytesOf(++accepted);
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      sockets.delete(socket);
      notify();
    });
    socket.once('data', () => {
      asked++;
      send(socket, bytes);
      notify();
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    accepted: () => accepted,
    open: () => sockets.size,
    asked: count => until(() => asked >= count),
    closed: () => until(() => sockets.size === 0),
    async close() {
      observers = [];
      for (const socket of sockets) socket.destroy();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

function send(socket: Socket, {start = '', piece, isFast}: EndlessBytes): void {
  socket.write(start);
  if (piece === undefined) return;
  const text = isFast === true ? piece.repeat(1000) : piece;
  const repeat = () => {
    if (socket.destroyed) return;
    socket.write(text, () => {
      if (isFast === true) setImmediate(repeat);
      else setTimeout(repeat, 5);
    });
  };
  repeat();
}

const head = 'HTTP/1.1 200 OK\r\nFoxbarrow-Instance-Id: i-2\r\n';

/** Answers without a complete head. */
export const endlessHeads: Readonly<Record<string, EndlessBytes>> = {
  'no byte': {},
  'a status line without end': {start: 'HTTP/1.1 200 ', piece: 'x'},
  'a header without end': {start: `${head}X: `, piece: 'x'},
  'headers without end': {start: head, piece: 'X: y\r\n'},
  'interim answers without end': {piece: 'HTTP/1.1 102 Processing\r\n\r\n'},
};

/** Complete heads whose answers don't end. */
export const endlessBodies: Readonly<Record<string, EndlessBytes>> = {
  'a body without end': {start: `${head}\r\n`, piece: 'x'},
  'a body that is shorter than stated': {
    start: `${head}Content-Length: 9\r\n\r\n`,
  },
  'a chunked body without end': {
    start: `${head}Transfer-Encoding: chunked\r\n\r\n`,
    piece: '1\r\nx\r\n',
  },
  'a chunk extension without end': {
    start: `${head}Transfer-Encoding: chunked\r\n\r\n1;`,
    piece: 'x',
  },
};

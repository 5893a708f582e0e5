import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

/** A TCP server that sends exactly the bytes that a test specifies. */
export interface RawServer {
  readonly address: string;
  /** Heads of the received requests. */
  readonly heads: readonly string[];
  close(): Promise<void>;
}

/** Starts a server that calls `answer` with the head of each request. */
export async function createRawServer(
  answer: (socket: Socket, head: string, count: number) => void,
  allowHalfOpen = false,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const heads: string[] = [];
  const server = createServer({allowHalfOpen}, socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
    socket.on('data', chunk => {
      const text = chunk.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      if (!/^[A-Z]+ \//.test(text) || end < 0) return;
      heads.push(text.slice(0, end));
      answer(socket, text.slice(0, end), heads.length);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    heads,
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

/** A loopback address on which no process listens. */
export async function unusedAddress(): Promise<string> {
  const server = await createRawServer(() => {});
  await server.close();
  return server.address;
}

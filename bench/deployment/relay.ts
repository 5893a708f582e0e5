/** Forwards connections between processes, and can stand for a cut network. */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {parseAddress} from '../../src/link/address.js';

/** A relay in front of several addresses. */
export interface Relay {
  /** Where the relay listens, one for each target. */
  readonly addresses: readonly string[];
  /** Forwards nothing more, in both directions, and closes nothing. */
  cut(): void;
  /** Forwards again, also what was sent during the cut. */
  heal(): void;
  close(): void;
}

/** Creates a relay on free loopback ports. */
export async function createRelay(targets: readonly string[]): Promise<Relay> {
  const sockets = new Set<Socket>();
  let isCut = false;
  let waiting: Array<() => void> = [];

  function add(socket: Socket, other: () => Socket): void {
    sockets.add(socket);
    socket.on('data', chunk => other().write(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      sockets.delete(socket);
      other().destroy();
    });
    if (isCut) socket.pause();
  }

  function forward(incoming: Socket, target: string): void {
    const {host, port} = parseAddress(target);
    const outgoing = connect(port, host);
    add(incoming, () => outgoing);
    add(outgoing, () => incoming);
  }

  async function listenFor(target: string): Promise<Server> {
    const server = createServer(incoming => {
      if (isCut) waiting.push(() => forward(incoming, target));
      else forward(incoming, target);
      incoming.on('error', () => incoming.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return server;
  }

  const servers = await Promise.all(targets.map(listenFor));
  return {
    addresses: servers.map(
      server => `127.0.0.1:${(server.address() as AddressInfo).port}`,
    ),
    cut() {
      isCut = true;
      for (const socket of sockets) socket.pause();
    },
    heal() {
      isCut = false;
      for (const socket of sockets) socket.resume();
      const opened = waiting;
      waiting = [];
      for (const open of opened) open();
    },
    close() {
      for (const server of servers) server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

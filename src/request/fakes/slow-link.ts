/**
 * A VM's incoming link with a limited rate. Connections through it share one
 * first-in first-out queue, and each may have a window of bytes in the queue.
 */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {Address} from '../../link/link.js';
import type {FakeTimers} from '../../time/fakes/fake-timers.js';

/** Options of `createSlowLink`. */
export interface SlowLinkOptions {
  /** Bytes per second. */
  readonly rate: number;
  readonly timers: FakeTimers;
}

/** A slow link. */
export interface SlowLink {
  /** Bytes that have crossed the link. */
  readonly bytes: number;
  /** Listens for connections to `target` through the link. */
  relay(target: Address): Promise<Address>;
  /** Milliseconds that a message would take if it were sent now. */
  delay(): number;
  close(): void;
}

/** Bytes that a connection may have on the link. */
const windowSize = 64 * 1024;
/** Bytes that cross the link as one. */
const partSize = 8 * 1024;
const millisecondsPerSecond = 1000;

/** Creates a link without connections. */
export function createSlowLink({rate, timers}: SlowLinkOptions): SlowLink {
  const servers: Server[] = [];
  const sockets = new Set<Socket>();
  let busyUntil = 0;
  let bytes = 0;

  function send(part: Buffer, deliver: () => void): void {
    const duration = (part.length / rate) * millisecondsPerSecond;
    busyUntil = Math.max(busyUntil, timers.now()) + duration;
    timers.after(busyUntil - timers.now(), () => {
      bytes += part.length;
      deliver();
    });
  }

  function join(sender: Socket, receiver: Socket): void {
    let queued = 0;
    sender.on('data', (chunk: Buffer) => {
      queued += chunk.length;
      if (queued >= windowSize) sender.pause();
      for (let start = 0; start < chunk.length; start += partSize) {
        const part = chunk.subarray(start, start + partSize);
        send(part, () => {
          const release = () => {
            queued -= part.length;
            if (queued < windowSize) sender.resume();
          };
          if (receiver.destroyed || receiver.write(part)) release();
          else receiver.once('drain', release);
        });
      }
    });
    sender.on('end', () => send(Buffer.alloc(1), () => void receiver.end()));
    receiver.pipe(sender);
    for (const [socket, other] of [
      [sender, receiver],
      [receiver, sender],
    ] as const) {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        other.destroy();
      });
    }
  }

  return {
    get bytes() {
      return bytes;
    },
    relay: async target => {
      const [host, port] = target.split(':');
      const server = createServer(sender =>
        join(sender, connect(Number(port), host)),
      );
      servers.push(server);
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', () => resolve()),
      );
      return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    },
    delay: () => Math.max(0, busyUntil - timers.now()),
    close: () => {
      for (const server of servers) server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

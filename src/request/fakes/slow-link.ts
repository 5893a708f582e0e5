/**
 * A VM's incoming link with a limited rate. Connections through it share one
 * first-in first-out queue, and each may have a window of bytes in the queue.
 */
import {connect, createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {parseAddress} from '../../link/address.js';
import type {Address} from '../../link/link.js';
import type {FakeTimers} from '../../time/fakes/fake-timers.js';
import {listen} from './mesh.js';

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
  /** Time at which all bytes in the queue will have crossed. */
  let busyUntil = 0;
  let crossed = 0;

  function enqueue(bytes: number, deliver: () => void): void {
    const duration = (bytes / rate) * millisecondsPerSecond;
    busyUntil = Math.max(busyUntil, timers.now()) + duration;
    timers.after(busyUntil - timers.now(), () => {
      crossed += bytes;
      deliver();
    });
  }

  /** Forwards what `sender` sends over the link, and answers directly. */
  function join(sender: Socket, receiver: Socket): void {
    let inWindow = 0;

    function forward(part: Buffer): void {
      if (receiver.destroyed || receiver.write(part)) release(part.length);
      else receiver.once('drain', () => release(part.length));
    }

    function release(bytes: number): void {
      inWindow -= bytes;
      if (inWindow < windowSize) sender.resume();
    }

    sender.on('data', (chunk: Buffer) => {
      inWindow += chunk.length;
      if (inWindow >= windowSize) sender.pause();
      for (let start = 0; start < chunk.length; start += partSize) {
        const part = chunk.subarray(start, start + partSize);
        enqueue(part.length, () => forward(part));
      }
    });
    sender.on('end', () => enqueue(0, () => void receiver.end()));
    receiver.pipe(sender);
    closeTogether(sender, receiver);
    closeTogether(receiver, sender);
  }

  function closeTogether(socket: Socket, other: Socket): void {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      sockets.delete(socket);
      other.destroy();
    });
  }

  return {
    get bytes() {
      return crossed;
    },
    relay: target => {
      const {host, port} = parseAddress(target);
      const server = createServer(sender => join(sender, connect(port, host)));
      servers.push(server);
      return listen(server);
    },
    delay: () => Math.max(0, busyUntil - timers.now()),
    close: () => {
      for (const server of servers) server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

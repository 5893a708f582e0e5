/** A message link over an open socket, in frames. */
import type {Socket} from 'node:net';
import type {Codec} from './codec.js';
import {createFrameReader, encodeFrame} from './frame.js';
import {Link} from './link.js';

/** Options of `createSocketLink`. */
export interface SocketLinkOptions {
  /** Largest message in bytes; a larger one closes the link. */
  readonly messageLimit: number;
  /** How messages become payloads; both ends must agree. */
  readonly codec: Codec;
  /** Hears of a message that can't be read or handled; its link is closed. */
  readonly onFault?: (error: Error) => void;
}

/** A link that can also be broken off. */
export abstract class SocketLink extends Link {
  /** Closes at once; what was not yet sent is lost. */
  abstract destroy(): void;
}

/** Creates the link; the socket is its own from then on. */
export function createSocketLink(
  socket: Socket,
  {messageLimit, codec, onFault}: SocketLinkOptions,
): SocketLink {
  const backlog: unknown[] = [];
  let receive: ((message: unknown) => void) | undefined;
  let closed: (() => void) | undefined;
  let ended = false;
  let isGathering = false;

  const reader = createFrameReader(messageLimit, frame => {
    const message = codec.decode(frame);
    if (receive === undefined) backlog.push(message);
    else receive(message);
  });

  /** What is sent in one turn of the loop leaves in one write. */
  function gather(): void {
    if (isGathering) return;
    isGathering = true;
    socket.cork();
    setImmediate(() => {
      isGathering = false;
      socket.uncork();
    });
  }

  socket.setNoDelay(true);
  socket.setKeepAlive(true, 10_000);
  socket.on('data', chunk => {
    try {
      reader.push(chunk);
    } catch (error) {
      onFault?.(error as Error);
      socket.destroy();
    }
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    ended = true;
    closed?.();
  });

  return new (class extends SocketLink {
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
      gather();
      socket.write(encodeFrame(codec.encode(message)));
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

    destroy(): void {
      socket.destroy();
    }
  })();
}

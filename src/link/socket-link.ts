/** A message link over an open socket, in frames. */
import type {Socket} from 'node:net';
import type {Codec} from './codec.js';
import {createFrameReader, encodeFrames, headerBytes} from './frame.js';
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
  options: SocketLinkOptions,
): SocketLink {
  return new OpenLink(socket, options);
}

// One class for all links: a call on any of them then finds the same shape.
class OpenLink extends SocketLink {
  readonly peer: string;
  /** Messages that came before there was a receiver. */
  private readonly backlog: unknown[] = [];
  private receive: ((message: unknown) => void) | undefined;
  private closed: (() => void) | undefined;
  private isOver = false;
  /** What was sent in this turn of the loop, and its bytes as frames. */
  private payloads: Buffer[] = [];
  private gathered = 0;

  constructor(
    private readonly socket: Socket,
    private readonly options: SocketLinkOptions,
  ) {
    super();
    this.peer = `${socket.remoteAddress}:${socket.remotePort}`;
    const reader = createFrameReader(options.messageLimit, frame =>
      this.take(options.codec.decode(frame)),
    );
    socket.setNoDelay(true);
    socket.setKeepAlive(true, 10_000);
    socket.on('data', chunk => {
      try {
        reader.push(chunk);
      } catch (error) {
        options.onFault?.(error as Error);
        socket.destroy();
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.isOver = true;
      this.closed?.();
    });
  }

  get pending(): number {
    return this.socket.writableLength + this.gathered;
  }

  get bytesIn(): number {
    return this.socket.bytesRead;
  }

  get bytesOut(): number {
    return this.socket.bytesWritten + this.gathered;
  }

  send(message: unknown): void {
    if (this.isOver || this.socket.destroyed) return;
    const payload = this.options.codec.encode(message);
    if (this.payloads.length === 0) setImmediate(() => this.flush());
    this.payloads.push(payload);
    this.gathered += headerBytes + payload.length;
  }

  onMessage(receiver: (message: unknown) => void): void {
    this.receive = receiver;
    for (const message of this.backlog.splice(0)) receiver(message);
  }

  onClose(observer: () => void): void {
    this.closed = observer;
    if (this.isOver) observer();
  }

  close(): void {
    this.flush();
    this.socket.end();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private take(message: unknown): void {
    if (this.receive === undefined) this.backlog.push(message);
    else this.receive(message);
  }

  /** What is sent in one turn of the loop leaves in one write. */
  private flush(): void {
    if (this.payloads.length === 0) return;
    const frames = encodeFrames(this.payloads);
    this.payloads = [];
    this.gathered = 0;
    if (!this.socket.destroyed) this.socket.write(frames);
  }
}

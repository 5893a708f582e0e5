/** A message link over an open socket; each message is sent as a frame. */
import type {Socket} from 'node:net';
import {createTimers} from '../time/timers.js';
import type {Timers} from '../time/timers.js';
import type {Codec} from './codec.js';
import {createFrameReader, encodeFrames, headerBytes} from './frame.js';
import {Link} from './link.js';

/**
 * Milliseconds without progress of the last messages, and after them, until a
 * closed socket is destroyed. The other end of a dead connection never closes its
 * side, so the socket would stay open for many minutes; one that sends without end
 * would keep it open for good.
 */
const closeTimeout = 2000;

/** Options of `createSocketLink`. */
export interface SocketLinkOptions {
  /** Maximum size of a message in bytes; a larger one closes the link. */
  readonly messageLimit: number;
  /** Encodes messages; both ends must use the same codec. */
  readonly codec: Codec;
  /** Called if a message can't be decoded or handled; the link is closed. */
  readonly onFault?: (error: Error) => void;
  /** By default those of the machine. */
  readonly timers?: Timers;
}

const machineTimers = createTimers();

/** A link that can also be aborted. */
export abstract class SocketLink extends Link {
  /** Closes at once; messages that were not yet sent are lost. */
  abstract destroy(): void;
}

/** Creates the link, which takes ownership of the socket. */
export function createSocketLink(
  socket: Socket,
  options: SocketLinkOptions,
): SocketLink {
  return new OpenLink(socket, options);
}

// A single class for all links gives them the same object shape, so that calls on
// them stay monomorphic.
class OpenLink extends SocketLink {
  readonly peer: string;
  /** Messages received before a receiver was registered. */
  private readonly backlog: unknown[] = [];
  private receive: ((message: unknown) => void) | undefined;
  private onClosed: (() => void) | undefined;
  private isClosed = false;
  /** Payloads sent in this turn of the event loop, and their size as frames. */
  private payloads: Buffer[] = [];
  private unflushedBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly options: SocketLinkOptions,
  ) {
    super();
    this.peer = `${socket.remoteAddress}:${socket.remotePort}`;
    const reader = createFrameReader(options.messageLimit, frame =>
      this.deliver(options.codec.decode(frame)),
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
    // The sockets of an HTTP server stay half-open by default.
    socket.on('end', () => {
      this.flush();
      socket.end();
      this.reportClosed();
    });
    socket.on('close', () => this.reportClosed());
  }

  get pending(): number {
    return this.socket.writableLength + this.unflushedBytes;
  }

  get bytesIn(): number {
    return this.socket.bytesRead;
  }

  get bytesOut(): number {
    return this.socket.bytesWritten + this.unflushedBytes;
  }

  send(message: unknown): void {
    if (this.isClosed || this.socket.destroyed) return;
    const payload = this.options.codec.encode(message);
    if (this.payloads.length === 0) setImmediate(() => this.flush());
    this.payloads.push(payload);
    this.unflushedBytes += headerBytes + payload.length;
  }

  onMessage(receiver: (message: unknown) => void): void {
    this.receive = receiver;
    for (const message of this.backlog.splice(0)) receiver(message);
  }

  onClose(observer: () => void): void {
    this.onClosed = observer;
    if (this.isClosed) observer();
  }

  close(): void {
    this.flush();
    const {socket} = this;
    if (socket.destroyed) return;
    socket.setTimeout(closeTimeout, () => socket.destroy());
    // What the other end sends is no progress of the last messages.
    socket.pause();
    socket.end(() => this.awaitOtherEnd());
  }

  destroy(): void {
    this.socket.destroy();
  }

  private awaitOtherEnd(): void {
    const {socket} = this;
    if (socket.destroyed) return;
    socket.resume();
    const {timers = machineTimers} = this.options;
    const deadline = timers.after(closeTimeout, () => socket.destroy());
    socket.once('close', () => deadline.cancel());
  }

  /** Nothing more is received; called when the other end closes its half. */
  private reportClosed(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.onClosed?.();
  }

  private deliver(message: unknown): void {
    if (this.receive === undefined) this.backlog.push(message);
    else this.receive(message);
  }

  /** Writes all messages of one turn of the event loop in a single write. */
  private flush(): void {
    if (this.payloads.length === 0) return;
    const frames = encodeFrames(this.payloads);
    this.payloads = [];
    this.unflushedBytes = 0;
    if (!this.socket.destroyed) this.socket.write(frames);
  }
}

/**
 * Writes log lines. A reader of standard output that hangs must not block the
 * process: a pipe buffers 64 KB and then blocks the writer. Lines are therefore
 * written asynchronously from a bounded buffer. Lines that don't fit into the
 * buffer are dropped and counted.
 */
import sonicBoom from 'sonic-boom';
import type {Subscription, Timers} from '../time/timers.js';

/** Options of `createLineSink`. */
export interface LineSinkOptions {
  /** The file descriptor to which lines are written. */
  readonly descriptor: number;
  /** Maximum size of the buffer in bytes; default 256 KiB. */
  readonly capacity?: number;
  readonly timers: Timers;
}

/** Accepts lines without blocking on their reader. */
export interface LineSink {
  write(line: string): void;
  /** Returns the number of lines dropped since the last call. */
  takeDropped(): number;
  /** Resolves when all lines are written, or after `limit` milliseconds. */
  drain(limit: number): Promise<void>;
  /**
   * Drops the lines that are not being written. Resolves when nothing is written
   * any more; only then may the descriptor be closed, since its number can be
   * given to another file at once.
   */
  close(): Promise<void>;
}

/** Bytes; holds a few seconds of lines at the maximum rate of a node. */
const defaultCapacity = 256 * 1024;

/** Bytes that are collected for one write; reduces the number of system calls. */
const minWriteSize = 4 * 1024;

/** Maximum number of milliseconds for which a line waits for further ones. */
const flushDelay = 200;

/** Milliseconds until a write is repeated after the reader's buffer was full. */
const retryDelay = 100;

/** Creates a sink. */
export function createLineSink(options: LineSinkOptions): LineSink {
  const {timers} = options;
  const capacity = options.capacity ?? defaultCapacity;
  let dropped = 0;
  let held: string[] = [];
  let heldBytes = 0;
  /** The lines handed to `output`, and how many of their bytes are unwritten. */
  let handed: readonly string[] = [];
  let handedBytes = 0;
  let isWriting = false;
  /** Whether the reader's buffer was full at the last attempt. */
  let isBlocked = false;
  /** Whether lines are not to wait for further ones. */
  let isDraining = false;
  let isClosed = false;
  let closing: Promise<void> | undefined;
  let timer: Subscription | undefined;
  let onDrained = () => {};
  let onIdle = () => {};

  const output = new sonicBoom.SonicBoom({
    fd: options.descriptor,
    sync: false,
    // More than it is handed at once, so that only `startWrite` starts writes.
    minLength: capacity + 1,
    maxWrite: capacity + 2,
    // Its own timer for another attempt could not be cancelled.
    retryEAGAIN: () => false,
  });
  output.on('write', (bytes: number) => {
    handedBytes -= bytes;
  });
  output.on('drain', () => {
    handed = [];
    endWrite();
    if (held.length > 0) return continueWriting();
    isDraining = false;
    onDrained();
  });
  output.on('error', (error: NodeJS.ErrnoException) => {
    isBlocked = isBusy(error);
    endWrite();
    if (isBlocked) schedule(retryDelay);
    // The reader has closed the pipe, and the error can't be logged anywhere.
    // Further lines fill the buffer and are then counted as dropped.
    else onDrained();
  });

  const isEmpty = () => held.length === 0 && handed.length === 0;

  function startWrite(): void {
    if (isWriting || isClosed || isEmpty()) return;
    timer?.cancel();
    timer = undefined;
    isBlocked = false;
    isWriting = true;
    if (handed.length === 0) handOver();
    output.flush();
  }

  function handOver(): void {
    handed = held;
    handedBytes = heldBytes;
    held = [];
    heldBytes = 0;
    output.write(handed.join(''));
  }

  function endWrite(): void {
    isWriting = false;
    onIdle();
  }

  function continueWriting(): void {
    if (isDraining || heldBytes >= minWriteSize) startWrite();
    else schedule(flushDelay);
  }

  function schedule(delay: number): void {
    if (isClosed || timer !== undefined) return;
    timer = timers.after(delay, () => {
      timer = undefined;
      startWrite();
    });
  }

  function write(line: string): void {
    const size = Buffer.byteLength(line);
    if (isClosed || heldBytes + handedBytes + size > capacity) {
      dropped++;
      return;
    }
    held.push(line);
    heldBytes += size;
    if (!isWriting && !isBlocked) continueWriting();
  }

  /** Number of the handed lines that are not written completely. */
  function countUnwritten(): number {
    let rest = handedBytes;
    let count = 0;
    for (let index = handed.length - 1; rest > 0 && index >= 0; index--) {
      rest -= Buffer.byteLength(handed[index]!);
      count++;
    }
    return count;
  }

  async function stop(): Promise<void> {
    isClosed = true;
    timer?.cancel();
    if (isWriting) await new Promise<void>(resolve => (onIdle = resolve));
    dropped += held.length + countUnwritten();
    held = [];
    handed = [];
    onDrained();
  }

  return {
    write,
    takeDropped: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
    drain: limit =>
      new Promise(resolve => {
        if (isEmpty()) return resolve();
        isDraining = true;
        const timeout = timers.after(limit, resolve);
        onDrained = () => {
          timeout.cancel();
          resolve();
        };
        startWrite();
      }),
    close: () => (closing ??= stop()),
  };
}

/** Whether the reader's buffer is full for now. */
function isBusy({code}: NodeJS.ErrnoException): boolean {
  return code === 'EAGAIN' || code === 'EBUSY';
}

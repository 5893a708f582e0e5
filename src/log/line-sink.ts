/**
 * Writes log lines. A reader of standard output that hangs must not block the
 * process: a pipe buffers 64 KB and then blocks the writer. Lines are therefore
 * written asynchronously from a bounded buffer. Lines that don't fit into the
 * buffer are dropped and counted.
 */
import sonicBoom from 'sonic-boom';
import type {Timers} from '../time/timers.js';

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
}

/** Bytes; holds a few seconds of lines at the maximum rate of a node. */
const defaultCapacity = 256 * 1024;

/** Bytes that are collected for one write; reduces the number of system calls. */
const minWriteSize = 4 * 1024;

/** Maximum number of milliseconds for which a line waits for further ones. */
const flushDelay = 200;

/** Creates a sink. */
export function createLineSink(options: LineSinkOptions): LineSink {
  const {timers} = options;
  let dropped = 0;
  let buffered = 0;
  let isFlushScheduled = false;
  let onDrained = () => {};

  const output = new sonicBoom.SonicBoom({
    fd: options.descriptor,
    sync: false,
    minLength: minWriteSize,
    maxLength: options.capacity ?? defaultCapacity,
  });
  output.on('drop', () => {
    dropped++;
  });
  output.on('write', (bytes: number) => {
    buffered -= bytes;
    if (buffered <= 0) onDrained();
  });
  // The reader has closed the pipe, and the error can't be logged anywhere. Further
  // lines fill the buffer and are then counted as dropped.
  output.on('error', () => onDrained());

  function flush(): void {
    isFlushScheduled = false;
    if (buffered > 0) output.flush();
  }

  function scheduleFlush(): void {
    if (isFlushScheduled) return;
    isFlushScheduled = true;
    timers.after(flushDelay, flush);
  }

  return {
    write: line => {
      const droppedBefore = dropped;
      output.write(line);
      if (dropped > droppedBefore) return;
      buffered += Buffer.byteLength(line);
      scheduleFlush();
    },
    takeDropped: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
    drain: limit =>
      new Promise(resolve => {
        if (buffered <= 0) return resolve();
        const timeout = timers.after(limit, resolve);
        onDrained = () => {
          timeout.cancel();
          resolve();
        };
        output.flush();
      }),
  };
}

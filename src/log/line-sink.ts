/**
 * Where log lines leave the process. A reader of standard output that stops
 * must not stop the process: a pipe takes 64 KB and then blocks whoever writes.
 * Lines are therefore written from a bounded buffer, by a thread of the
 * library, and what finds no room is left out and counted.
 */
import sonicBoom from 'sonic-boom';
import type {Timers} from '../time/timers.js';

/** Options of `createLineSink`. */
export interface LineSinkOptions {
  /** The file descriptor that is written to. */
  readonly descriptor: number;
  /** Bytes that wait for the reader, at most; 256 KiB unless given. */
  readonly capacity?: number;
  readonly timers: Timers;
}

/** Takes lines and never waits for their reader. */
export interface LineSink {
  write(line: string): void;
  /** Lines left out since the last call of this. */
  takeDropped(): number;
  /** Resolves when all is written, or after `limit` milliseconds. */
  drain(limit: number): Promise<void>;
}

/** A few seconds of lines at the rate that a node writes at most. */
const defaultCapacity = 256 * 1024;

/** Bytes that are gathered before they are written; saves calls of the system. */
const gather = 4 * 1024;

/** Milliseconds that a line waits for others at most. */
const delay = 200;

/** Creates a sink. */
export function createLineSink(options: LineSinkOptions): LineSink {
  const {timers} = options;
  let dropped = 0;
  let held = 0;
  let isFlushPlanned = false;
  let drained = () => {};

  const output = new sonicBoom.SonicBoom({
    fd: options.descriptor,
    sync: false,
    minLength: gather,
    maxLength: options.capacity ?? defaultCapacity,
  });
  output.on('drop', () => {
    dropped++;
  });
  output.on('write', (bytes: number) => {
    held -= bytes;
    if (held <= 0) drained();
  });
  // The reader has gone. There is nowhere left to tell it: what is written
  // from now on fills the buffer and is counted.
  output.on('error', () => drained());

  function flush(): void {
    isFlushPlanned = false;
    if (held > 0) output.flush();
  }

  function planFlush(): void {
    if (isFlushPlanned) return;
    isFlushPlanned = true;
    timers.after(delay, flush);
  }

  return {
    write: line => {
      const before = dropped;
      output.write(line);
      if (dropped > before) return;
      held += Buffer.byteLength(line);
      planFlush();
    },
    takeDropped: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
    drain: limit =>
      new Promise(resolve => {
        if (held <= 0) return resolve();
        const late = timers.after(limit, resolve);
        drained = () => {
          late.cancel();
          resolve();
        };
        output.flush();
      }),
  };
}

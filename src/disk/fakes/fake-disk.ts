import type {Random} from '../../random/random.js';
import type {Timers} from '../../time/timers.js';
import {Appender, Disk} from '../disk.js';

/** How the fake disk behaves. */
export interface FakeDiskOptions {
  /** With a time, each sync and replacement takes that many milliseconds. */
  readonly timers?: Timers;
  readonly syncTime?: number;
  /** Whether a replacement is all or nothing, as the real one is. */
  readonly atomicReplace?: boolean;
}

/** A data folder in memory that fails where the test says. */
export interface FakeDisk {
  /** The folder as one life of a process sees it; ends the life before. */
  open(): Disk;
  /**
   * Ends the process's life and loses what was not synced. With `random`, a
   * random part of the unsynced bytes stays, often torn inside a record.
   */
  crash(random?: Random): void;
  /** Flips one bit of a durable byte; a negative offset counts from the end. */
  flipBit(name: string, offset: number): void;
  /** Empties the folder, as a replaced disk is. */
  wipe(): void;
  /** Fails the next sync; as in a kernel, its bytes are then gone for good. */
  failNextSync(): void;
  /** Refuses to hold more than `bytes` in all. */
  limit(bytes: number): void;
  /** Breaks the next replacement of a file off in the middle. */
  interruptReplace(name: string): void;
  /** Size of a file in bytes, durable or not. */
  size(name: string): number;
  /** Syncs so far. */
  readonly syncs: number;
}

interface Chunk {
  readonly bytes: Buffer;
  /** Dropped by a failed sync: a later one calls it durable all the same. */
  isLost: boolean;
}

interface File {
  durable: Buffer;
  pending: Chunk[];
}

/** Creates a fake disk. */
export function createFakeDisk(options: FakeDiskOptions = {}): FakeDisk {
  const {timers, syncTime = 0, atomicReplace = true} = options;
  let files = new Map<string, File>();
  let life = 0;
  let syncs = 0;
  let isSyncFailing = false;
  let byteLimit = Infinity;
  let interrupted: string | undefined;

  const contentOf = (file: File) =>
    Buffer.concat([file.durable, ...file.pending.map(({bytes}) => bytes)]);

  function total(): number {
    let sum = 0;
    for (const file of files.values()) sum += contentOf(file).length;
    return sum;
  }

  function errorOf(code: string): Error {
    return Object.assign(new Error(code), {code});
  }

  function check(mine: number, added: number): void {
    if (mine !== life) throw errorOf('EDEAD');
    if (total() + added > byteLimit) throw errorOf('ENOSPC');
  }

  async function flush(mine: number, file: File): Promise<void> {
    if (timers !== undefined && syncTime > 0) {
      await new Promise<void>(done => timers.after(syncTime, done));
    }
    check(mine, 0);
    syncs++;
    if (isSyncFailing) {
      isSyncFailing = false;
      for (const chunk of file.pending) chunk.isLost = true;
      throw errorOf('EIO');
    }
    const settled = file.pending.map(({bytes, isLost}) =>
      isLost ? Buffer.alloc(bytes.length) : bytes,
    );
    file.durable = Buffer.concat([file.durable, ...settled]);
    file.pending = [];
  }

  function fileOf(name: string): File {
    const found = files.get(name) ?? {durable: Buffer.alloc(0), pending: []};
    files.set(name, found);
    return found;
  }

  function openDisk(): Disk {
    const mine = ++life;
    return new (class extends Disk {
      async read(name: string): Promise<Buffer | undefined> {
        const file = files.get(name);
        return file && contentOf(file);
      }

      async list(): Promise<string[]> {
        return [...files.keys()].sort();
      }

      async open(name: string): Promise<Appender> {
        check(mine, 0);
        return createAppender(mine, fileOf(name));
      }

      async replace(name: string, content: Uint8Array): Promise<void> {
        check(mine, content.length);
        const target = atomicReplace ? `${name}.new` : name;
        const half = Buffer.from(content.subarray(0, content.length / 2));
        if (interrupted === name) {
          interrupted = undefined;
          files.set(target, {durable: half, pending: []});
          throw errorOf('EIO');
        }
        const file = {
          durable: Buffer.alloc(0),
          pending: [{bytes: Buffer.from(content), isLost: false}],
        };
        await flush(mine, file);
        files.set(name, file);
      }

      async remove(name: string): Promise<void> {
        check(mine, 0);
        files.delete(name);
      }
    })();
  }

  function createAppender(mine: number, file: File): Appender {
    return new (class extends Appender {
      async append(content: Uint8Array): Promise<void> {
        check(mine, content.length);
        file.pending.push({bytes: Buffer.from(content), isLost: false});
      }

      sync(): Promise<void> {
        return flush(mine, file);
      }

      async truncate(length: number): Promise<void> {
        check(mine, 0);
        const content = contentOf(file).subarray(0, length);
        file.durable = Buffer.from(content);
        file.pending = [];
      }

      async close(): Promise<void> {}
    })();
  }

  return {
    open: openDisk,
    crash(random) {
      life++;
      for (const file of files.values()) {
        const unsynced = Buffer.concat(file.pending.map(({bytes}) => bytes));
        const kept = random?.integer(unsynced.length + 1) ?? 0;
        file.durable = Buffer.concat([
          file.durable,
          unsynced.subarray(0, kept),
        ]);
        file.pending = [];
      }
    },
    flipBit(name, offset) {
      const file = files.get(name)!;
      const content = contentOf(file);
      const at = offset < 0 ? content.length + offset : offset;
      content[at]! ^= 1;
      file.durable = content;
      file.pending = [];
    },
    wipe() {
      life++;
      files = new Map();
    },
    failNextSync: () => void (isSyncFailing = true),
    limit: bytes => void (byteLimit = bytes),
    interruptReplace: name => void (interrupted = name),
    size: name => (files.has(name) ? contentOf(files.get(name)!).length : 0),
    get syncs() {
      return syncs;
    },
  };
}

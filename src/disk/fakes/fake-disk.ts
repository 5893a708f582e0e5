import type {Random} from '../../random/random.js';
import type {Timers} from '../../time/timers.js';
import {Appender, Disk} from '../disk.js';

/** Options of createFakeDisk. */
export interface FakeDiskOptions {
  /** Timers for `syncTime`. */
  readonly timers?: Timers;
  /** Duration of each sync and replacement in milliseconds; default 0. */
  readonly syncTime?: number;
  /** Whether replacements are atomic, as on a real disk; default true. */
  readonly atomicReplace?: boolean;
}

/** A data folder in memory whose failures a test controls. */
export interface FakeDisk {
  /**
   * Opens the folder for a new incarnation of a process; the previous one ends.
   */
  open(): Disk;
  /**
   * Ends the present incarnation and discards unsynced bytes. With `random`, a
   * random part of them is kept, which often ends inside a record.
   */
  crash(random?: Random): void;
  /**
   * Flips one bit of the byte at `offset`; a negative offset counts from the
   * end.
   */
  flipBit(name: string, offset: number): void;
  /** Empties the folder, as if the disk had been replaced. */
  wipe(): void;
  /**
   * Fails the next sync; its bytes are then lost permanently, as in a kernel.
   */
  failNextSync(): void;
  /** Limits the total size of all files. */
  limit(bytes: number): void;
  /** Interrupts the next replacement of a file after half of its content. */
  interruptReplace(name: string): void;
  /** Size of a file in bytes, including unsynced ones. */
  size(name: string): number;
  /** Number of syncs since the start. */
  readonly syncs: number;
}

interface Chunk {
  readonly bytes: Buffer;
  /** Lost in a failed sync; a later sync still reports it as durable. */
  isLost: boolean;
}

interface FakeFile {
  durable: Buffer;
  pending: Chunk[];
}

/** Creates a fake disk. */
export function createFakeDisk(options: FakeDiskOptions = {}): FakeDisk {
  const {timers, syncTime = 0, atomicReplace = true} = options;
  let files = new Map<string, FakeFile>();
  let incarnation = 0;
  let syncs = 0;
  let isSyncFailing = false;
  let byteLimit = Infinity;
  let interrupted: string | undefined;

  const contentOf = (file: FakeFile) =>
    Buffer.concat([file.durable, ...file.pending.map(({bytes}) => bytes)]);

  function totalBytes(): number {
    let sum = 0;
    for (const file of files.values()) sum += contentOf(file).length;
    return sum;
  }

  function createError(code: string): Error {
    return Object.assign(new Error(code), {code});
  }

  function checkWrite(ownIncarnation: number, added: number): void {
    if (ownIncarnation !== incarnation) throw createError('EDEAD');
    if (totalBytes() + added > byteLimit) throw createError('ENOSPC');
  }

  async function flush(ownIncarnation: number, file: FakeFile): Promise<void> {
    if (timers !== undefined && syncTime > 0) {
      await new Promise<void>(done => timers.after(syncTime, done));
    }
    checkWrite(ownIncarnation, 0);
    syncs++;
    if (isSyncFailing) {
      isSyncFailing = false;
      for (const chunk of file.pending) chunk.isLost = true;
      throw createError('EIO');
    }
    const written = file.pending.map(({bytes, isLost}) =>
      isLost ? Buffer.alloc(bytes.length) : bytes,
    );
    file.durable = Buffer.concat([file.durable, ...written]);
    file.pending = [];
  }

  function fileOf(name: string): FakeFile {
    const found = files.get(name) ?? {durable: Buffer.alloc(0), pending: []};
    files.set(name, found);
    return found;
  }

  function openDisk(): Disk {
    const ownIncarnation = ++incarnation;
    return new (class extends Disk {
      async read(name: string): Promise<Buffer | undefined> {
        const file = files.get(name);
        return file && contentOf(file);
      }

      async list(): Promise<string[]> {
        return [...files.keys()].sort();
      }

      async open(name: string): Promise<Appender> {
        checkWrite(ownIncarnation, 0);
        return createAppender(ownIncarnation, fileOf(name));
      }

      async replace(name: string, content: Uint8Array): Promise<void> {
        checkWrite(ownIncarnation, content.length);
        const target = atomicReplace ? `${name}.new` : name;
        const half = Buffer.from(content.subarray(0, content.length / 2));
        if (interrupted === name) {
          interrupted = undefined;
          files.set(target, {durable: half, pending: []});
          throw createError('EIO');
        }
        const file = {
          durable: Buffer.alloc(0),
          pending: [{bytes: Buffer.from(content), isLost: false}],
        };
        await flush(ownIncarnation, file);
        files.set(name, file);
      }

      async remove(name: string): Promise<void> {
        checkWrite(ownIncarnation, 0);
        files.delete(name);
      }
    })();
  }

  function createAppender(ownIncarnation: number, file: FakeFile): Appender {
    return new (class extends Appender {
      async append(content: Uint8Array): Promise<void> {
        checkWrite(ownIncarnation, content.length);
        file.pending.push({bytes: Buffer.from(content), isLost: false});
      }

      sync(): Promise<void> {
        return flush(ownIncarnation, file);
      }

      async truncate(length: number): Promise<void> {
        checkWrite(ownIncarnation, 0);
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
      incarnation++;
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
      incarnation++;
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

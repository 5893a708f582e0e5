import {Packr} from 'msgpackr';
import type {Appender, Disk} from '../disk/disk.js';
import {encodeRecord, readRecord, searchRecords} from '../disk/record.js';
import {Failure} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {Entry} from './messages.js';

/** The content of one record of the log file. */
type LogRecord =
  /** Index and term of the entry before the first one in the file. */
  | {readonly kind: 'base'; readonly index: number; readonly term: number}
  /** Sync mark: all entries up to `index` were synced before it was written. */
  | {readonly kind: 'synced'; readonly index: number}
  | Entry;

/** The log on disk. Its operations must not run concurrently. */
export interface StorageLog {
  readonly lastIndex: number;
  /** Size of the file in bytes. */
  readonly size: number;
  /**
   * Whether the last sync mark in the file covers all synced entries. Without
   * such a mark, damage to the last entry looks like an incomplete write.
   */
  readonly isMarked: boolean;
  /** Writes entries; they are durable only after `sync`. */
  append(entries: readonly Entry[]): Promise<void>;
  sync(): Promise<void>;
  /** Writes a sync mark, durably, unless a later batch has written one. */
  mark(): Promise<void>;
  /** Removes the entry at `index` and all later ones, durably. */
  cut(index: number): Promise<void>;
  /** Removes entries up to `index`, durably. */
  compact(index: number, term: number): Promise<void>;
  /** Replaces the log by an empty one that continues after an entry. */
  reset(index: number, term: number): Promise<void>;
  close(): Promise<void>;
}

/** An opened log and the content that was found. */
export interface OpenedLog {
  readonly log: StorageLog;
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly entries: readonly Entry[];
  /** Size of an incomplete last write that was truncated, in bytes. */
  readonly tornBytes: number;
}

const fileName = 'log';
const packr = new Packr({useRecords: false});

/** The offset at which an entry's record starts in the file. */
interface EntryOffset {
  readonly index: number;
  readonly offset: number;
}

interface LogScan {
  readonly base: {readonly index: number; readonly term: number};
  readonly entries: Entry[];
  readonly offsets: EntryOffset[];
  /** Offset after the last complete record. */
  readonly end: number;
}

const encode = (record: LogRecord) => encodeRecord(packr.pack(record));

/** Creates the log file of a new data folder. */
export async function createStorageLog(
  disk: Disk,
  index: number,
  term: number,
): Promise<void> {
  await disk.replace(fileName, encode({kind: 'base', index, term}));
}

/**
 * Opens the log file; throws a `Failure` when it is damaged. Tests switch
 * `isTailChecked` off to show that accepted entries would be lost without it.
 */
export async function openStorageLog(
  disk: Disk,
  isTailChecked = true,
): Promise<OpenedLog> {
  const content = await disk.read(fileName);
  if (content === undefined) throw damaged('the log file is missing');
  const scan = scanLog(content);
  const tornBytes = content.length - scan.end;
  if (tornBytes > 0 && isTailChecked) checkTail(content, scan);
  const appender = await disk.open(fileName);
  if (tornBytes > 0) await appender.truncate(scan.end);
  return {
    log: createLog(disk, appender, scan),
    baseIndex: scan.base.index,
    baseTerm: scan.base.term,
    entries: scan.entries,
    tornBytes,
  };
}

function damaged(problem: string): Failure {
  return new Failure(
    consensusCodes.logDamaged,
    `${problem}; empty the data folder to rejoin as a learner`,
  );
}

function scanLog(content: Buffer): LogScan {
  const firstRecord = readRecord(content, 0);
  const base = firstRecord && (packr.unpack(firstRecord.payload) as LogRecord);
  if (base?.kind !== 'base') throw damaged('the log file has no base record');
  const entries: Entry[] = [];
  const offsets: EntryOffset[] = [];
  let end = firstRecord!.end;
  for (let next = readRecord(content, end); next;) {
    const record = packr.unpack(next.payload) as LogRecord;
    if (record.kind !== 'synced' && record.kind !== 'base') {
      entries.push(record);
      offsets.push({index: record.index, offset: end});
    }
    end = next.end;
    next = readRecord(content, end);
  }
  return {base, entries, offsets, end};
}

/**
 * Checks the bytes after the last complete record. Usually they are an
 * incomplete write: the process died before their sync, so they were never
 * acknowledged. A later sync mark for entries that are missing shows the other
 * case, in which synced and acknowledged bytes were damaged. Truncating those
 * would silently lose accepted changes.
 */
function checkTail(content: Buffer, scan: LogScan): void {
  const last = scan.entries.at(-1)?.index ?? scan.base.index;
  for (const found of searchRecords(content, scan.end)) {
    const record = packr.unpack(found.payload) as LogRecord;
    if (record.kind === 'synced' && record.index > last) {
      throw damaged(
        `the log is damaged at byte ${scan.end}, before entry ${record.index}`,
      );
    }
  }
}

function createLog(
  disk: Disk,
  openedFile: Appender,
  scan: LogScan,
): StorageLog {
  let appender = openedFile;
  let {base, offsets, end: size} = scan;
  let synced = offsets.at(-1)?.index ?? base.index;
  let marked = synced;

  const lastIndex = () => offsets.at(-1)?.index ?? base.index;

  async function write(bytes: Buffer): Promise<void> {
    await appender.append(bytes);
    size += bytes.length;
  }

  async function replace(content: Buffer): Promise<void> {
    await appender.close();
    await disk.replace(fileName, content);
    appender = await disk.open(fileName);
    const next = scanLog(content);
    ({base, offsets, end: size} = next);
    synced = lastIndex();
    marked = synced;
  }

  return {
    get lastIndex() {
      return lastIndex();
    },
    get size() {
      return size;
    },
    get isMarked() {
      return marked === synced;
    },
    async append(entries) {
      const mark = encode({kind: 'synced', index: synced});
      const parts = [mark];
      let offset = size + mark.length;
      for (const entry of entries) {
        const record = encode(entry);
        parts.push(record);
        offsets.push({index: entry.index, offset});
        offset += record.length;
      }
      await write(Buffer.concat(parts));
      marked = synced;
    },
    async sync() {
      await appender.sync();
      synced = lastIndex();
    },
    async mark() {
      if (marked === synced) return;
      await write(encode({kind: 'synced', index: synced}));
      await appender.sync();
      marked = synced;
    },
    async cut(index) {
      const position = offsets.findIndex(entry => entry.index >= index);
      if (position < 0) return;
      size = offsets[position]!.offset;
      offsets.length = position;
      await appender.truncate(size);
      synced = Math.min(synced, lastIndex());
      marked = Math.min(marked, synced);
    },
    async compact(index, term) {
      if (index <= base.index) return;
      const start = offsets.find(entry => entry.index > index)?.offset ?? size;
      const content = (await disk.read(fileName))!;
      const head = encode({kind: 'base', index, term});
      const tail = content.subarray(start, size);
      const mark = encode({kind: 'synced', index: lastIndex()});
      await replace(Buffer.concat([head, tail, mark]));
    },
    async reset(index, term) {
      await replace(encode({kind: 'base', index, term}));
    },
    close: () => appender.close(),
  };
}

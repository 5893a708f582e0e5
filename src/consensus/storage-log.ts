import {Packr} from 'msgpackr';
import type {Appender, Disk} from '../disk/disk.js';
import {encodeRecord, readRecord, searchRecords} from '../disk/record.js';
import {Failure} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {Entry} from './messages.js';

/** What one record of the log file holds. */
type LogRecord =
  /** The entry before the first one of the file. */
  | {readonly kind: 'base'; readonly index: number; readonly term: number}
  /** All entries up to `index` were synced before this was written. */
  | {readonly kind: 'synced'; readonly index: number}
  | Entry;

/** The log on disk. Its operations must not overlap. */
export interface StorageLog {
  readonly lastIndex: number;
  /** Size of the file in bytes. */
  readonly size: number;
  /** Whether the file itself tells up to where it was synced. */
  readonly isMarked: boolean;
  /** Writes entries; durable only after `sync`. */
  append(entries: readonly Entry[]): Promise<void>;
  sync(): Promise<void>;
  /** Notes the synced point when no later batch did; durable when it returns. */
  mark(): Promise<void>;
  /** Drops `index` and everything after it, durably. */
  cut(index: number): Promise<void>;
  /** Forgets entries up to `index`, durably. */
  compact(index: number, term: number): Promise<void>;
  /** Starts again, empty, after an entry. */
  reset(index: number, term: number): Promise<void>;
  close(): Promise<void>;
}

/** A log as it was found on disk. */
export interface OpenedLog {
  readonly log: StorageLog;
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly entries: readonly Entry[];
  /** Bytes of a torn tail that were cut off. */
  readonly tornBytes: number;
}

const file = 'log';
const packr = new Packr({useRecords: false});

/** Where an entry's record starts in the file. */
interface Place {
  readonly index: number;
  readonly offset: number;
}

interface Scan {
  readonly base: {readonly index: number; readonly term: number};
  readonly entries: Entry[];
  readonly places: Place[];
  /** Offset after the last whole record. */
  readonly end: number;
}

const encode = (record: LogRecord) => encodeRecord(packr.pack(record));

/** Creates the log file of a new folder. */
export async function createStorageLog(
  disk: Disk,
  index: number,
  term: number,
): Promise<void> {
  await disk.replace(file, encode({kind: 'base', index, term}));
}

/**
 * Opens the log file; throws a `Failure` when it is damaged. Tests switch
 * `isTailChecked` off to show what would be lost.
 */
export async function openStorageLog(
  disk: Disk,
  isTailChecked = true,
): Promise<OpenedLog> {
  const content = await disk.read(file);
  if (content === undefined) throw damaged('the log file is missing');
  const scan = scanLog(content);
  const tornBytes = content.length - scan.end;
  if (tornBytes > 0 && isTailChecked) checkTail(content, scan);
  const appender = await disk.open(file);
  if (tornBytes > 0) await appender.truncate(scan.end);
  return {
    log: manage(disk, appender, scan),
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

function scanLog(content: Buffer): Scan {
  const first = readRecord(content, 0);
  const base = first && (packr.unpack(first.payload) as LogRecord);
  if (base?.kind !== 'base') throw damaged('the log file has no start');
  const entries: Entry[] = [];
  const places: Place[] = [];
  let end = first!.end;
  for (let next = readRecord(content, end); next;) {
    const record = packr.unpack(next.payload) as LogRecord;
    if (record.kind !== 'synced' && record.kind !== 'base') {
      entries.push(record);
      places.push({index: record.index, offset: end});
    }
    end = next.end;
    next = readRecord(content, end);
  }
  return {base, entries, places, end};
}

/**
 * Bytes after the last whole record are a torn tail, never acknowledged, when
 * the process died before their sync. A later mark that speaks of entries
 * which are not there tells the other case: synced, acknowledged bytes were
 * damaged. Cutting these would silently take back accepted changes.
 */
function checkTail(content: Buffer, scan: Scan): void {
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

function manage(disk: Disk, opened: Appender, scan: Scan): StorageLog {
  let appender = opened;
  let {base, places, end: size} = scan;
  let synced = places.at(-1)?.index ?? base.index;
  let marked = synced;

  const lastIndex = () => places.at(-1)?.index ?? base.index;

  async function write(bytes: Buffer): Promise<void> {
    await appender.append(bytes);
    size += bytes.length;
  }

  async function replace(content: Buffer): Promise<void> {
    await appender.close();
    await disk.replace(file, content);
    appender = await disk.open(file);
    const next = scanLog(content);
    ({base, places, end: size} = next);
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
        places.push({index: entry.index, offset});
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
      const at = places.findIndex(place => place.index >= index);
      if (at < 0) return;
      size = places[at]!.offset;
      places.length = at;
      await appender.truncate(size);
      synced = Math.min(synced, lastIndex());
      marked = Math.min(marked, synced);
    },
    async compact(index, term) {
      if (index <= base.index) return;
      const start = places.find(place => place.index > index)?.offset ?? size;
      const content = (await disk.read(file))!;
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

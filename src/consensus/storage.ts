import {createHash, randomBytes} from 'node:crypto';
import type {Disk} from '../disk/disk.js';
import {Failure} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {StoredState} from './core-state.js';
import {
  readIdentity,
  readSnapshot,
  writeIdentity,
  writeSnapshot,
} from './data-folder.js';
import type {Identity} from './data-folder.js';
import type {Entry, Membership, Snapshot, Vote, Voter} from './messages.js';
import {createStorageLog, openStorageLog} from './storage-log.js';
import type {StorageLog} from './storage-log.js';

/**
 * The durable state of one member. Its operations must not run concurrently.
 */
export interface Storage {
  readonly identity: Identity;
  /** The state that was read at the start. */
  readonly stored: StoredState;
  /** Size of the log file in bytes. */
  readonly logBytes: number;
  /** Whether the log file itself records how far it was synced. */
  readonly isMarked: boolean;
  saveVote(vote: Vote): Promise<void>;
  append(entries: readonly Entry[]): Promise<void>;
  sync(): Promise<void>;
  /** Writes a sync mark to the log file; see `StorageLog`. */
  mark(): Promise<void>;
  cut(index: number): Promise<void>;
  /**
   * Saves a snapshot of this member's state and drops entries up to
   * `keepAfter`.
   */
  saveSnapshot(
    snapshot: Snapshot,
    keepAfter: number,
    keepAfterTerm: number,
  ): Promise<void>;
  /** Replaces snapshot and log by a snapshot received from the group. */
  install(
    snapshot: Snapshot,
    group: string,
    founders: readonly Voter[],
  ): Promise<void>;
  close(): Promise<void>;
}

const noMembership: Membership = {voters: [], learners: []};

/** The state before the first entry of a group. */
export function createInitialSnapshot(founders: readonly Voter[]): Snapshot {
  const membership = {voters: founders, learners: []};
  return {index: 0, term: 0, membership, data: new Uint8Array()};
}

/**
 * The identifier of a group, derived from the data folders that founded it. A
 * group formed by other folders is a different group, even with the same names.
 */
export function groupIdOf(founders: readonly Voter[]): string {
  const names = founders.map(({name, storage}) => `${name}=${storage}`);
  const hash = createHash('sha256').update(names.sort().join(' '));
  return hash.digest('hex').slice(0, 16);
}

/**
 * Opens the durable state of member `owner`; in an empty folder it creates it.
 */
export async function openStorage(disk: Disk, owner: string): Promise<Storage> {
  const found = await readIdentity(disk);
  if (found !== undefined && found.owner !== owner) {
    throw new Failure(
      consensusCodes.foreignFolder,
      `the data folder belongs to ${found.owner}, not to ${owner}; attach the right disk or empty the folder`,
    );
  }
  if (found?.group !== undefined) return openFormed(disk, found);
  return openNew(disk, found ?? (await createIdentity(disk, owner)));
}

async function createIdentity(disk: Disk, owner: string): Promise<Identity> {
  const storage = randomBytes(8).toString('hex');
  const identity = {storage, owner, term: 0, votedFor: undefined};
  await writeIdentity(disk, identity);
  return identity;
}

function openNew(disk: Disk, identity: Identity): Storage {
  const {term, votedFor} = identity;
  const snapshot = {...createInitialSnapshot([]), membership: noMembership};
  return createStorage(disk, identity, undefined, {
    vote: {term, votedFor},
    snapshot,
    baseIndex: 0,
    baseTerm: 0,
    entries: [],
    formed: false,
  });
}

async function openFormed(disk: Disk, identity: Identity): Promise<Storage> {
  const {term, votedFor} = identity;
  const snapshot = await readSnapshot(disk);
  const found = await openStorageLog(disk);
  const {log, entries, baseIndex, baseTerm} = found;
  const vote = {term, votedFor};
  if (continuesSnapshot(snapshot, found)) {
    const stored = {vote, snapshot, baseIndex, baseTerm, entries, formed: true};
    return createStorage(disk, identity, log, stored);
  }
  // The process died after it wrote a received snapshot and before it reset the
  // log.
  await log.reset(snapshot.index, snapshot.term);
  return createStorage(disk, identity, log, {
    vote,
    snapshot,
    baseIndex: snapshot.index,
    baseTerm: snapshot.term,
    entries: [],
    formed: true,
  });
}

/** Whether the log continues the snapshot without a gap. */
function continuesSnapshot(
  snapshot: Snapshot,
  found: {baseIndex: number; baseTerm: number; entries: readonly Entry[]},
): boolean {
  if (found.baseIndex > snapshot.index) {
    throw new Failure(
      consensusCodes.snapshotDamaged,
      `the snapshot ends at ${snapshot.index} but the log starts after ${found.baseIndex}; empty the data folder to rejoin as a learner`,
    );
  }
  if (found.baseIndex === snapshot.index) return true;
  const entry = found.entries[snapshot.index - found.baseIndex - 1];
  return entry?.term === snapshot.term;
}

function createStorage(
  disk: Disk,
  storedIdentity: Identity,
  openedLog: StorageLog | undefined,
  stored: StoredState,
): Storage {
  let identity = storedIdentity;
  let log = openedLog;

  async function joinGroup(
    group: string,
    founders: readonly Voter[],
  ): Promise<void> {
    identity = {...identity, group, founders};
    await writeIdentity(disk, identity);
  }

  return {
    get identity() {
      return identity;
    },
    stored,
    get logBytes() {
      return log?.size ?? 0;
    },
    get isMarked() {
      return log?.isMarked ?? true;
    },
    async saveVote(vote) {
      identity = {...identity, ...vote};
      await writeIdentity(disk, identity);
    },
    append: entries => log!.append(entries),
    sync: () => log!.sync(),
    async mark() {
      await log?.mark();
    },
    cut: index => log!.cut(index),
    async saveSnapshot(snapshot, keepAfter, keepAfterTerm) {
      await writeSnapshot(disk, snapshot);
      await log!.compact(keepAfter, keepAfterTerm);
    },
    async install(snapshot, group, founders) {
      await writeSnapshot(disk, snapshot);
      if (log === undefined) {
        await createStorageLog(disk, snapshot.index, snapshot.term);
        ({log} = await openStorageLog(disk));
      } else {
        await log.reset(snapshot.index, snapshot.term);
      }
      if (identity.group === undefined) await joinGroup(group, founders);
    },
    async close() {
      await log?.close();
    },
  };
}

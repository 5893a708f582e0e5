import {Packr} from 'msgpackr';
import type {Disk} from '../disk/disk.js';
import {encodeRecord, readRecord} from '../disk/record.js';
import type {Code} from '../result/code.js';
import {Failure} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {Snapshot, Vote, Voter} from './messages.js';

/**
 * The content of a data folder's identity file, which is rewritten with each
 * vote.
 */
export interface Identity extends Vote {
  /** Random identifier created with the data folder. */
  readonly storage: string;
  /** Name of the member that owns the data folder. */
  readonly owner: string;
  /** Identifier of the group; absent before the group is formed. */
  readonly group?: string;
  readonly founders?: readonly Voter[];
}

const identityFile = 'identity';
const snapshotFile = 'snapshot';
const packr = new Packr({useRecords: false});

/** Reads the data folder's identity; undefined when the folder is empty. */
export async function readIdentity(disk: Disk): Promise<Identity | undefined> {
  const content = await disk.read(identityFile);
  const hasOthers = (await disk.list()).includes('log');
  if (content === undefined && !hasOthers) return undefined;
  return decode<Identity>(content, consensusCodes.stateDamaged, identityFile);
}

/** Replaces the data folder's identity durably. */
export async function writeIdentity(
  disk: Disk,
  identity: Identity,
): Promise<void> {
  await disk.replace(identityFile, encodeRecord(packr.pack(identity)));
}

/** Reads the newest snapshot. */
export async function readSnapshot(disk: Disk): Promise<Snapshot> {
  const content = await disk.read(snapshotFile);
  return decode<Snapshot>(
    content,
    consensusCodes.snapshotDamaged,
    snapshotFile,
  );
}

/**
 * Replaces the snapshot durably. An interrupted write leaves the old snapshot
 * in place, and the log is compacted only after this function has returned.
 */
export async function writeSnapshot(
  disk: Disk,
  snapshot: Snapshot,
): Promise<void> {
  await disk.replace(snapshotFile, encodeRecord(packr.pack(snapshot)));
}

function decode<T>(content: Buffer | undefined, code: Code, name: string): T {
  const record = content && readRecord(content, 0);
  if (record === undefined) {
    throw new Failure(
      code,
      `the file ${name} is missing or damaged; empty the data folder to rejoin as a learner`,
    );
  }
  return packr.unpack(record.payload) as T;
}

import {Packr} from 'msgpackr';
import type {Disk} from '../disk/disk.js';
import {encodeRecord, readRecord} from '../disk/record.js';
import type {Code} from '../result/code.js';
import {Failure} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {Snapshot, Vote, Voter} from './messages.js';

/** What a data folder knows of itself; rewritten with each vote. */
export interface Identity extends Vote {
  /** Random, made with the folder. */
  readonly storage: string;
  /** Name of the member that the folder belongs to. */
  readonly owner: string;
  /** The group it belongs to; absent before the group is formed. */
  readonly group?: string;
  readonly founders?: readonly Voter[];
}

const identityFile = 'identity';
const snapshotFile = 'snapshot';
const packr = new Packr({useRecords: false});

/** Reads the folder's identity; undefined for an empty folder. */
export async function readIdentity(disk: Disk): Promise<Identity | undefined> {
  const content = await disk.read(identityFile);
  const hasOthers = (await disk.list()).includes('log');
  if (content === undefined && !hasOthers) return undefined;
  return decode<Identity>(content, consensusCodes.stateDamaged, identityFile);
}

/** Replaces the folder's identity durably. */
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
 * Replaces the snapshot durably: an interrupted write leaves the old one, and
 * the log behind it is dropped only after this has returned.
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

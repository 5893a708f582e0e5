import test from 'ava';
import {createFakeDisk} from '../disk/fakes/fake-disk.js';
import type {FakeDisk} from '../disk/fakes/fake-disk.js';
import {createRandom} from '../random/random.js';
import {Failure} from '../result/failure.js';
import {consensusCodes} from './codes.js';
import type {Entry} from './messages.js';
import {createStorageLog, openStorageLog} from './storage-log.js';
import type {OpenedLog} from './storage-log.js';

const entry = (index: number, term = 1): Entry => ({
  kind: 'command',
  index,
  term,
  data: Buffer.from(`change ${index} of term ${term}`),
});

const indexesOf = (found: OpenedLog) => found.entries.map(({index}) => index);

async function createLog(disk: FakeDisk): Promise<OpenedLog> {
  const folder = disk.open();
  await createStorageLog(folder, 0, 0);
  return openStorageLog(folder);
}

/**
 * Writes three synced batches; with `mark` also a sync mark for the last one.
 */
async function writeThree(disk: FakeDisk, mark: boolean): Promise<void> {
  const {log} = await createLog(disk);
  for (const index of [1, 2, 3]) {
    await log.append([entry(index)]);
    await log.sync();
  }
  if (mark) await log.mark();
}

// `any` is needed because an error of verror is not a native error.
const isDamaged = {instanceOf: Failure, message: /damaged/, any: true} as const;

test('an incomplete last write is truncated and all synced entries are kept', async t => {
  // The VM loses power while a batch is written. The disk may hold any part of
  // the batch, often half a record. None of it was acknowledged.
  for (let seed = 0; seed < 50; seed++) {
    const disk = createFakeDisk();
    const {log} = await createLog(disk);
    await log.append([entry(1), entry(2)]);
    await log.sync();
    await log.append([entry(3), entry(4)]);
    disk.crash(createRandom(seed));
    const found = await openStorageLog(disk.open());
    t.deepEqual(indexesOf(found).slice(0, 2), [1, 2]);
    await found.log.append([entry(found.log.lastIndex + 1, 2)]);
    await found.log.sync();
    disk.crash();
    const again = await openStorageLog(disk.open());
    t.is(again.entries.at(-1)!.term, 2);
    t.is(again.tornBytes, 0);
  }
});

test('damage to synced entries refuses to start; unchecked it loses accepted entries', async t => {
  // A bit flips in the middle of the file. If this were treated as an
  // incomplete write, the entries after it would be truncated although they
  // were synced and acknowledged.
  const disk = createFakeDisk();
  await writeThree(disk, false);
  disk.flipBit('log', 60);
  const failure = await t.throwsAsync(openStorageLog(disk.open()), isDamaged);
  t.is((failure as unknown as Failure).code, consensusCodes.logDamaged);
  const unchecked = await openStorageLog(disk.open(), false);
  t.true(unchecked.entries.length < 3);
});

test('a sync mark distinguishes a damaged last entry from an incomplete write', async t => {
  // Nothing follows the last entry, so only a sync mark shows that it was
  // synced. Without the mark it looks like an incomplete write, and an accepted
  // change is lost.
  const offsetFromEnd = 60;
  const marked = createFakeDisk();
  await writeThree(marked, true);
  marked.flipBit('log', -offsetFromEnd);
  await t.throwsAsync(openStorageLog(marked.open()), isDamaged);

  const unmarked = createFakeDisk();
  await writeThree(unmarked, false);
  unmarked.flipBit('log', -1);
  const found = await openStorageLog(unmarked.open());
  t.deepEqual(indexesOf(found), [1, 2]);
});

test('a truncated entry does not reappear and its index can be written again', async t => {
  const disk = createFakeDisk();
  await writeThree(disk, true);
  const {log} = await openStorageLog(disk.open());
  await log.cut(2);
  await log.append([entry(2, 2)]);
  await log.sync();
  disk.crash();
  const found = await openStorageLog(disk.open());
  t.deepEqual(
    found.entries.map(({index, term}) => [index, term]),
    [
      [1, 1],
      [2, 2],
    ],
  );
});

test('a compacted log keeps its last entries and frees the space of the others', async t => {
  const disk = createFakeDisk();
  await writeThree(disk, true);
  const before = disk.size('log');
  const {log} = await openStorageLog(disk.open());
  await log.compact(2, 1);
  t.true(disk.size('log') < before);
  await log.append([entry(4)]);
  await log.sync();
  disk.crash();
  const found = await openStorageLog(disk.open());
  t.is(found.baseIndex, 2);
  t.deepEqual(indexesOf(found), [3, 4]);
});

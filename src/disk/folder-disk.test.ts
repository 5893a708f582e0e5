import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {createFolderDisk} from './folder-disk.js';

async function makeFolder(t: ExecutionContext): Promise<string> {
  const root = await mkdtemp(join(tmpdir(), 'foxbarrow-disk-'));
  t.teardown(() => rm(root, {recursive: true, force: true}));
  return join(root, 'data');
}

test('a replaced file is complete and an interrupted replacement is never read', async t => {
  // The process dies after it wrote half of the new content. The old content
  // must stay readable, and the next replacement must succeed.
  const folder = await makeFolder(t);
  const disk = await createFolderDisk(folder);
  await disk.replace('state', Buffer.from('old'));
  await writeFile(join(folder, 'state.new'), 'hal');
  t.is(`${await disk.read('state')}`, 'old');
  await disk.replace('state', Buffer.from('next'));
  t.is(`${await disk.read('state')}`, 'next');
  t.deepEqual(await disk.list(), ['state']);
});

test('bytes are appended after a truncation, also when the file is reopened', async t => {
  const disk = await createFolderDisk(await makeFolder(t));
  const first = await disk.open('log');
  await first.append(Buffer.from('keep-torn'));
  await first.sync();
  await first.truncate('keep'.length);
  await first.append(Buffer.from('-one'));
  await first.close();
  const second = await disk.open('log');
  await second.append(Buffer.from('-two'));
  await second.sync();
  await second.close();
  t.is(`${await disk.read('log')}`, 'keep-one-two');
});

test('a missing file reads as undefined and can be removed', async t => {
  const disk = await createFolderDisk(await makeFolder(t));
  t.is(await disk.read('absent'), undefined);
  await t.notThrowsAsync(disk.remove('absent'));
});

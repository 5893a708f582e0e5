import {execFileSync} from 'node:child_process';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  readFileSync,
  readSync,
  rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createTimers} from '../time/timers.js';
import {createLineSink} from './line-sink.js';
import {createLog} from './log.js';

function folderOf(t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'foxbarrow-lines-'));
  t.teardown(() => rmSync(folder, {recursive: true}));
  return folder;
}

/** Opens a named pipe, which buffers 64 KB, without a process that reads it. */
function openUnreadPipe(t: ExecutionContext): number {
  const path = join(folderOf(t), 'pipe');
  execFileSync('mkfifo', [path]);
  return openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
}

const line = `${'x'.repeat(999)}\n`;

test('lines are written completely and in order', async t => {
  const path = join(folderOf(t), 'lines');
  const descriptor = openSync(path, 'w');
  const sink = createLineSink({descriptor, timers: createTimers()});
  const log = createLog('node-1', 'info', sink);
  log.scope('request').info('answered', {request: 'r-1', status: 200}, 0);
  log.info('second');
  log.info('second');
  await sink.drain(5_000);
  const lines = readFileSync(path, 'utf8').trim().split('\n');
  t.is(lines.length, 3);
  t.deepEqual(JSON.parse(lines[0]!), {
    time: '1970-01-01T00:00:00.000Z',
    level: 'info',
    process: 'node-1',
    scope: 'request',
    message: 'answered',
    request: 'r-1',
    status: 200,
  });
  await sink.close();
  closeSync(descriptor);
});

test('if the reader stops, lines are dropped and counted, and writes do not block', async t => {
  // The process that collects the log hangs, and the pipe fills up. A blocking
  // write would stop the only thread that serves requests, so all callers would
  // wait for the reader of the log.
  const descriptor = openUnreadPipe(t);
  const sink = createLineSink({
    descriptor,
    capacity: 20_000,
    timers: createTimers(),
  });
  t.teardown(async () => {
    await sink.close();
    closeSync(descriptor);
  });
  for (let count = 0; count < 300; count++) sink.write(line);
  await sink.drain(50);
  for (let count = 0; count < 300; count++) sink.write(line);
  const dropped = sink.takeDropped();
  t.true(dropped >= 500, `${dropped} of 600 lines were dropped`);
  t.is(sink.takeDropped(), 0);
});

/**
 * Opens a new file under a number that is free; undefined if another thread of
 * this process has taken the number meanwhile.
 */
function openAs(number: number, path: string): number | undefined {
  const opened: number[] = [];
  while ((opened.at(-1) ?? -1) < number) opened.push(openSync(path, 'w'));
  const found = opened.find(each => each === number);
  for (const each of opened) if (each !== number) closeSync(each);
  return found;
}

/** The bytes that a closed sink writes to the next file with its number. */
async function countForeignBytes(
  t: ExecutionContext,
): Promise<number | undefined> {
  const timers = createTimers();
  const descriptor = openUnreadPipe(t);
  const sink = createLineSink({descriptor, timers});
  for (let count = 0; count < 600; count++) sink.write(line);
  await sink.close();
  closeSync(descriptor);
  const path = join(folderOf(t), 'next');
  const next = openAs(descriptor, path);
  if (next === undefined) return undefined;
  await new Promise<void>(resolve => void timers.after(500, resolve));
  closeSync(next);
  return readFileSync(path).length;
}

test('a closed sink writes nothing to the next file with the number of its descriptor', async t => {
  // Lines of one test file were written into the signal pipe of another.
  let bytes: number | undefined;
  for (let attempt = 0; bytes === undefined && attempt < 20; attempt++)
    bytes = await countForeignBytes(t);
  t.is(bytes, 0);
});

test('a closed sink counts what it still held, and all later lines, as dropped', async t => {
  const timers = createFakeTimers();
  const path = join(folderOf(t), 'lines');
  const descriptor = openSync(path, 'w');
  const sink = createLineSink({descriptor, timers});
  sink.write('written\n');
  await sink.drain(0);
  sink.write('held\n');
  const closing = sink.close();
  sink.write('late\n');
  await closing;
  await sink.close();
  await sink.drain(5_000);
  timers.advance(10_000);
  t.is(sink.takeDropped(), 2);
  t.is(readFileSync(path, 'utf8'), 'written\n');
  closeSync(descriptor);
});

test('a line that is being written when its sink is closed is written first', async t => {
  const path = join(folderOf(t), 'lines');
  const descriptor = openSync(path, 'w');
  const sink = createLineSink({descriptor, timers: createTimers()});
  sink.write(line.repeat(5));
  await Promise.all([sink.close(), sink.close()]);
  t.is(readFileSync(path, 'utf8').length, 5_000);
  t.is(sink.takeDropped(), 0);
  closeSync(descriptor);
});

test('lines go on once a reader that had stopped reads again', async t => {
  const descriptor = openUnreadPipe(t);
  const sink = createLineSink({descriptor, timers: createTimers()});
  for (let count = 0; count < 100; count++) sink.write(line);
  const chunk = Buffer.alloc(65_536);
  let received = 0;
  const end = Date.now() + 5_000;
  while (received < 100_000 && Date.now() < end) {
    received += readAvailable(descriptor, chunk);
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  t.is(received, 100_000);
  t.is(sink.takeDropped(), 0);
  await sink.close();
  closeSync(descriptor);
});

function readAvailable(descriptor: number, chunk: Buffer): number {
  try {
    return readSync(descriptor, chunk);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EAGAIN') return 0;
    throw error;
  }
}

test('the next line reports how many lines were dropped', t => {
  const written: string[] = [];
  let dropped = 7;
  const log = createLog('node-1', 'info', {
    write: line => void written.push(line),
    takeDropped: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
    drain: async () => {},
    close: async () => {},
  });
  log.info('answered');
  const [first, second] = written.map(line => JSON.parse(line));
  t.is(first.message, 'log lines left out');
  t.is(first.count, 7);
  t.is(second.message, 'answered');
});

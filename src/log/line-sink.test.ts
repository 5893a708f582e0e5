import {execFileSync} from 'node:child_process';
import {closeSync, mkdtempSync, openSync, readFileSync, rmSync} from 'node:fs';
import {constants} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {ExecutionContext} from 'ava';
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
  const descriptor = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
  t.teardown(() => closeSync(descriptor));
  return descriptor;
}

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
  const line = `${'x'.repeat(999)}\n`;
  for (let count = 0; count < 300; count++) sink.write(line);
  await sink.drain(50);
  for (let count = 0; count < 300; count++) sink.write(line);
  const dropped = sink.takeDropped();
  t.true(dropped >= 500, `${dropped} of 600 lines were dropped`);
  t.is(sink.takeDropped(), 0);
});

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
  });
  log.info('answered');
  const [first, second] = written.map(line => JSON.parse(line));
  t.is(first.message, 'log lines left out');
  t.is(first.count, 7);
  t.is(second.message, 'answered');
});

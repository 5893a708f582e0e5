import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import test from 'ava';
import {createSilentLog} from '../log/log.js';
import {openRaw, readAll} from '../request/fakes/raw-client.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import {
  answerJson,
  closeServer,
  destroyOnError,
  openServer,
  readText,
} from './http-server.js';

const idleConnections = {
  'nothing was sent on it': '',
  'half a request was sent on it':
    'PUT / HTTP/1.1\r\ncontent-length: 9\r\n\r\n{',
};

for (const [state, sent] of Object.entries(idleConnections)) {
  test(`an idle connection does not delay a stop: ${state}`, async t => {
    // The VM of the peer is partitioned, so its connection stays open without any
    // data. If the listener waited for that connection in a planned stop, the
    // process would be killed at the end of the granted time, and its remaining
    // work would be lost.
    const server = createServer(() => {});
    const {address} = await openServer(server, '127.0.0.1:0');
    const accepted = once(server, 'connection');
    openRaw(address, sent);
    await accepted;
    const timers = createFakeTimers();
    const closed = closeServer(server, timers);
    await settle();
    timers.advance(250);
    await t.notThrowsAsync(closed);
  });
}

test('a request in progress is answered before the listener closes', async t => {
  let answer = () => {};
  const server = createServer((_request, response) => {
    answer = () => response.end('done');
  });
  const {address} = await openServer(server, '127.0.0.1:0');
  const requested = once(server, 'request');
  const socket = openRaw(address, 'GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await requested;
  const closed = closeServer(server, createFakeTimers());
  answer();
  const [data] = (await once(socket, 'data')) as [Buffer];
  t.regex(data.toString(), /done/);
  await closed;
});

function answerWith(answer: (incoming: IncomingMessage) => Promise<object>) {
  return destroyOnError(
    createSilentLog(),
    async (incoming: IncomingMessage, response: ServerResponse) =>
      answerJson(response, 200, await answer(incoming)),
  );
}

test('an oversized body without end closes its connection', async t => {
  const server = createServer(
    answerWith(async incoming => ({text: await readText(incoming, 4)})),
  );
  const listener = await openServer(server, '127.0.0.1:0');
  t.teardown(listener.close);
  const socket = openRaw(
    listener.address,
    'PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n',
  );
  const piece = 'x'.repeat(1_000_000);
  const send = () => {
    if (!socket.destroyed) socket.write(piece, () => setImmediate(send));
  };
  send();
  t.is((await readAll(socket)).text, '');
});

test('an oversized body that ends is answered', async t => {
  const server = createServer(
    answerWith(async incoming => ({
      body: await readText(incoming, 4),
    })),
  );
  const listener = await openServer(server, '127.0.0.1:0');
  t.teardown(listener.close);
  const socket = openRaw(
    listener.address,
    `PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n${'x'.repeat(9999)}`,
  );
  const [data] = (await once(socket, 'data')) as [Buffer];
  t.regex(data.toString(), /"reason":"too-large"/);
});

test('bytes that are no UTF-8 are not replaced without a sign', async t => {
  const bytes = Buffer.from('saúde', 'latin1');
  const read = (body: Buffer) => readText(toChunks(body), 16);
  t.like(await read(bytes), {ok: false, reason: 'not-utf8'});
  t.deepEqual(await read(Buffer.from('saúde')), {ok: true, text: 'saúde'});
});

/** Chunks of one byte, so that a letter spans two. */
async function* toChunks(body: Buffer) {
  for (const byte of body) yield Buffer.of(byte);
}

test('a body that does not end in time closes its connection', async t => {
  const timers = createFakeTimers();
  const server = createServer(
    answerWith(async incoming => ({text: await readText(incoming, 4)})),
  );
  const listener = await openServer(server, '127.0.0.1:0', timers);
  t.teardown(listener.close);
  const requested = once(server, 'request');
  const socket = openRaw(
    listener.address,
    'PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{',
  );
  await requested;
  timers.advance(60_000);
  t.is((await readAll(socket)).text, '');
});

test('a response that is not read in time closes its connection', async t => {
  const timers = createFakeTimers();
  const size = 64 * 1024 * 1024;
  const server = createServer(
    answerWith(async incoming => ({
      body: await readText(incoming, 4),
      padding: 'x'.repeat(size),
    })),
  );
  const listener = await openServer(server, '127.0.0.1:0', timers);
  t.teardown(listener.close);
  const requested = once(server, 'request') as Promise<
    [IncomingMessage, ServerResponse]
  >;
  const head = 'PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n';
  const socket = openRaw(listener.address, `${head}1`);
  socket.pause();
  const [, response] = await requested;
  while (!response.writableEnded) await settle();
  timers.advance(60_000);
  const {text} = await readAll(socket.resume());
  t.true(text.length < size);
});

test('an exchange in time leaves its connection open', async t => {
  const timers = createFakeTimers();
  const server = createServer((_incoming, response) => response.end('done'));
  const listener = await openServer(server, '127.0.0.1:0', timers);
  t.teardown(listener.close);
  const head = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
  const requested = once(server, 'request') as Promise<
    [IncomingMessage, ServerResponse]
  >;
  const socket = openRaw(listener.address, head);
  const answered = once(socket, 'data');
  const [, response] = await requested;
  if (!response.closed) await once(response, 'close');
  await answered;
  timers.advance(60_000);
  socket.write(head);
  const [data] = (await once(socket, 'data')) as [Buffer];
  t.regex(data.toString(), /done/);
  socket.destroy();
});

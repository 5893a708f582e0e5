import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {
  createEndlessServer,
  endlessBodies,
  endlessHeads,
} from './fakes/endless-server.js';
import type {EndlessBytes} from './fakes/endless-server.js';
import {askForHead} from './head-question.js';

async function ask(t: ExecutionContext, bytes: EndlessBytes) {
  const server = await createEndlessServer(() => bytes);
  t.teardown(server.close);
  const answer = askForHead({
    address: server.address,
    path: '/health',
    timeout: 500,
    timers: createFakeTimers(),
  });
  return {server, answer};
}

const fast = Object.entries({...endlessHeads, ...endlessBodies}).filter(
  ([, {piece}]) => piece !== undefined,
);
for (const [name, bytes] of fast) {
  test(`a question takes a bounded number of bytes: ${name}`, async t => {
    const {server, answer} = await ask(t, {...bytes, isFast: true});
    const isBody = name in endlessBodies;
    if (isBody) t.like(await answer, {status: 200});
    else await t.throwsAsync(answer);
    await server.closed();
  });
}

test('bytes that are no answer end a question', async t => {
  const {server, answer} = await ask(t, {piece: 'x'});
  await t.throwsAsync(answer, {code: 'HPE_INVALID_CONSTANT'});
  await server.closed();
});

test('a change of protocol is no answer to a question', async t => {
  const start =
    'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n';
  const {server, answer} = await ask(t, {start, piece: 'x'});
  await t.throwsAsync(answer);
  await server.closed();
});

test('a question gets all values of a repeated header', async t => {
  const server = createServer((_incoming, response) => {
    response.writeHead(503, ['X', 'one', 'X', 'two']).end();
  }).listen(0, '127.0.0.1');
  t.teardown(() => server.close());
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const {status, headers} = await askForHead({
    address: `127.0.0.1:${port}`,
    path: '/health',
    timeout: 500,
    timers: createFakeTimers(),
  });
  t.is(status, 503);
  t.deepEqual(headers.slice(0, 4), ['X', 'one', 'X', 'two']);
});

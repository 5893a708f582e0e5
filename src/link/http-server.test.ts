import {once} from 'node:events';
import {createServer} from 'node:http';
import test from 'ava';
import {openRaw} from '../request/fakes/raw-client.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import {closeServer, openServer} from './http-server.js';

const silences = {
  'nothing was sent on it': '',
  'half a request was sent on it':
    'PUT / HTTP/1.1\r\ncontent-length: 9\r\n\r\n{',
};

for (const [silence, sent] of Object.entries(silences)) {
  test(`a connection that went silent does not hold a stop up: ${silence}`, async t => {
    // The peer's VM was cut off. Its connection stays open and brings nothing
    // more. The listener closes in a planned stop; waiting for that connection,
    // the process would be killed at the end of its grace, with its last work.
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

test('a call that is under way is answered before the listener closes', async t => {
  let answer = () => {};
  const server = createServer((_request, response) => {
    answer = () => response.end('done');
  });
  const {address} = await openServer(server, '127.0.0.1:0');
  const asked = once(server, 'request');
  const socket = openRaw(address, 'GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await asked;
  const closed = closeServer(server, createFakeTimers());
  answer();
  const [got] = (await once(socket, 'data')) as [Buffer];
  t.regex(got.toString(), /done/);
  await closed;
});

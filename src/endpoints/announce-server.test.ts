import test from 'ava';
import {request} from 'undici';
import {createSilentLog} from '../log/log.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createAnnounceServer} from './announce-server.js';
import {openRaw} from '../request/fakes/raw-client.js';
import {createAnnouncer} from './announcer.js';
import {upstream} from './fakes/mesh.js';

async function start(answers?: () => boolean) {
  const timers = createFakeTimers(1_000_000);
  const announcer = createAnnouncer({
    name: 'crewbook-1',
    gate: '10.0.0.1:7000',
    failureDomain: 'hall-a',
    region: 'astana',
    timers,
    log: createSilentLog(),
  });
  const server = await createAnnounceServer({
    address: '127.0.0.1:0',
    announcer,
    timers,
    log: createSilentLog(),
    lease: 10_000,
    answers,
  });
  async function send(method: 'POST' | 'DELETE' | 'GET', body?: unknown) {
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    const answer = await request(`http://${server.address}/upstream`, {
      method,
      body: body === undefined ? undefined : text,
    });
    const {code, message} = (await answer.body.json()) as {
      code: number;
      message?: string;
    };
    return {status: answer.statusCode, code, message};
  }
  return {timers, announcer, server, send};
}

test('an upstream announces and withdraws itself', async t => {
  const {announcer, server, send} = await start();
  t.like(await send('POST', upstream()), {status: 200, code: 1000});
  t.is(announcer.current()!.state, 'warming');
  t.like(await send('GET'), {status: 200});
  t.like(await send('DELETE', {instance: 'other'}), {status: 409, code: 7001});
  t.like(await send('DELETE'), {status: 200});
  t.is(announcer.current()!.state, 'gone');
  t.like(await send('DELETE'), {status: 404, code: 7002});
  await server.close();
});

test('an invalid announcement is answered with its problem', async t => {
  const {announcer, server, send} = await start();
  const refused: Array<[unknown, RegExp]> = [
    ['{', /not JSON/],
    [{...upstream(), slots: 0}, /slots/],
    [{...upstream(), address: 'elsewhere'}, /address/],
    [{...upstream(), state: 'gone'}, /state/],
    [{...upstream(), colour: 'red'}, /colour/],
  ];
  for (const [body, message] of refused) {
    const answer = await send('POST', body);
    t.like(answer, {status: 400, code: 7000});
    t.regex(answer.message!, message);
  }
  const long = {...upstream(), service: 'x'.repeat(5000)};
  t.like(await send('POST', long), {status: 413, code: 7005});
  t.is(announcer.current(), undefined);
  await server.close();
});

test('an upstream that stops renewing is withdrawn unless it still answers', async t => {
  for (const answers of [false, true]) {
    const {timers, announcer, server, send} = await start(() => answers);
    await send('POST', upstream());
    timers.advance(9000);
    await send('POST', upstream());
    timers.advance(9000);
    t.not(announcer.current()!.state, 'gone');
    timers.advance(30_000);
    t.is(announcer.current()!.state === 'gone', !answers);
    await server.close();
  }
});

test('an upstream that resets its connection during a request does not crash the node', async t => {
  const {server, send} = await start();
  const head = 'POST /upstream HTTP/1.1\r\nhost: a\r\ncontent-length: 99';
  const socket = openRaw(server.address, `${head}\r\n\r\n{`);
  t.is((await send('POST', upstream())).status, 200);
  socket.resetAndDestroy();
  t.is((await send('GET')).status, 200);
  await server.close();
});

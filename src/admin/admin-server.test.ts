import test from 'ava';
import {Counter, Registry} from 'prom-client';
import {request} from 'undici';
import {success} from '../result/failure.js';
import {createAdminServer} from './admin-server.js';
import {createGuard} from './token.js';

const token = 'a-secret-of-the-operators';

async function start(serverToken: string | undefined = token) {
  const registry = new Registry();
  new Counter({name: 'turns', help: 'x', registers: [registry]}).inc(3);
  const reasons: string[] = [];
  const calls: Array<string | undefined> = [];
  const server = await createAdminServer({
    address: '127.0.0.1:0',
    token: serverToken,
    registry,
    health: {notReady: () => reasons},
    wall: () => 1234,
    actions: {
      drain: async argument => {
        calls.push(argument);
        return success('done');
      },
      crash: () => Promise.reject(new Error('broken part')),
    },
  });
  const call = async (
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    authorization?: string,
  ) => {
    const answer = await request(`http://${server.address}${path}`, {
      method,
      headers: authorization === undefined ? {} : {authorization},
    });
    const headers = {...answer.headers, date: undefined};
    return {status: answer.statusCode, body: await answer.body.text(), headers};
  };
  return {server, call, reasons, calls};
}

test('metrics, health and readiness can be read without a token', async t => {
  const {server, call, reasons} = await start();
  t.regex((await call('GET', '/metrics')).body, /^turns 3$/m);
  t.is((await call('GET', '/health')).status, 200);
  t.is((await call('GET', '/ready')).status, 200);
  reasons.push('no configuration proved fresh');
  const answer = await call('GET', '/ready');
  t.is(answer.status, 503);
  t.deepEqual(JSON.parse(answer.body).reasons, reasons);
  await server.close();
});

test('a single metric is returned as JSON with the start time', async t => {
  const {server, call} = await start();
  const answer = JSON.parse((await call('GET', '/metrics/turns')).body);
  t.deepEqual(answer, {started: 1234, values: [{value: 3, labels: {}}]});
  const none = JSON.parse((await call('GET', '/metrics/none')).body);
  t.deepEqual(none.values, []);
  await server.close();
});

test('an action runs with the token and returns its result', async t => {
  const {server, call, calls} = await start();
  const answer = await call(
    'POST',
    '/actions/drain/crewbook-1',
    `Bearer ${token}`,
  );
  t.is(answer.status, 200);
  t.is(JSON.parse(answer.body).code, 1000);
  t.deepEqual(calls, ['crewbook-1']);
  await server.close();
});

test('a wrong token gets the same empty answer for every request', async t => {
  // Guards against a server that reveals its actions. The answer must be 401
  // without a body for existing and unknown actions and for malformed headers,
  // and no action may run.
  const {server, call, calls} = await start();
  const first = await call('POST', '/actions/drain', 'Bearer wrong');
  t.is(first.status, 401);
  t.is(first.body, '');
  for (const header of [undefined, '', 'Bearer ', token, `Bearer ${token}x`]) {
    for (const path of ['/actions/drain', '/actions/none', '/x', '/metrics']) {
      t.deepEqual(await call('POST', path, header), first);
      t.deepEqual(await call('DELETE', path, header), first);
    }
  }
  t.deepEqual(calls, []);
  await server.close();
});

test('no action can run if the settings have no token', async t => {
  const {server, call, calls} = await start('');
  for (const guard of [createGuard(undefined), createGuard('')]) {
    for (const header of [undefined, '', 'Bearer', 'Bearer ']) {
      t.false(guard(header));
    }
  }
  t.is((await call('POST', '/actions/drain', 'Bearer x')).status, 401);
  t.deepEqual(calls, []);
  await server.close();
});

test('an unknown action and one that throws are answered with a result code', async t => {
  const {server, call} = await start();
  const none = await call('POST', '/actions/none', `Bearer ${token}`);
  t.is(none.status, 404);
  t.is(JSON.parse(none.body).code, 8001);
  const crashed = await call('POST', '/actions/crash', `Bearer ${token}`);
  t.is(JSON.parse(crashed.body).effect, 'unknown');
  t.is((await call('GET', '/health')).status, 200);
  await server.close();
});

test('startup fails if the port is in use', async t => {
  const {server} = await start();
  const error = await t.throwsAsync(
    createAdminServer({
      address: server.address,
      registry: new Registry(),
      health: {notReady: () => []},
      wall: () => 0,
    }),
  );
  t.regex(error.message, /EADDRINUSE/);
  await server.close();
});

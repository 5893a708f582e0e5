import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import type {Configuration, Workspace} from '../configuration/configuration.js';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import type {KeyState} from '../workspaces/authenticator.js';
import {workspaceOf} from '../workspaces/fakes/configurations.js';
import {configurationOf, policyOf, routeOf} from './fakes/configurations.js';
import {createFakeClaims} from './fakes/fake-claims.js';
import {createMesh} from './fakes/mesh.js';
import type {Mesh, MeshOptions} from './fakes/mesh.js';
import {openRaw, sendRaw} from './fakes/raw-client.js';

const key = 'secret-0123456789';
const millers = workspaceOf('millers', [key]);

/** Keyed lookups and bookings, and open lookups. */
function keyedConfiguration(...workspaces: Workspace[]): Configuration {
  return configurationOf({
    services: [{name: 'stock-desk', slowStart: 0}],
    routes: [
      routeOf({access: 'keyed'}),
      routeOf({
        name: 'bookings',
        prefix: '/bookings',
        policy: 'bookings',
        access: 'keyed',
      }),
      routeOf({name: 'open', prefix: '/open'}),
    ],
    policies: [policyOf(), policyOf({name: 'bookings', repeatability: 'once'})],
    workspaces,
  });
}

async function start(
  t: ExecutionContext,
  options: Partial<MeshOptions> = {},
  configuration = keyedConfiguration(millers),
): Promise<Mesh> {
  const mesh = await createMesh({
    upstreams: [(_req, res) => res.end('here')],
    configuration: () => configuration,
    ...options,
  });
  t.teardown(() => mesh.close());
  return mesh;
}

/** An upstream that records the heads and trailers of its requests. */
function createRecordingUpstream() {
  const requests: Array<Record<string, string | string[] | undefined>> = [];
  const listener = (req: IncomingMessage, res: ServerResponse) => {
    req.resume();
    req.on('end', () => {
      requests.push({...req.headers, ...req.trailers});
      res.end('here');
    });
  };
  return {requests, listener};
}

const bearer = (value: string) => ({authorization: `Bearer ${value}`});

test('a keyed route answers 401 with a challenge to a missing and to an unknown key', async t => {
  const refused: string[] = [];
  let isReached = false;
  const mesh = await start(t, {
    upstreams: [() => (isReached = true)],
    entry: {onKeyRefused: reason => refused.push(reason)},
  });
  for (const [headers, code] of [
    [{}, '5028'],
    [bearer('other'), '5029'],
    [{authorization: `Basic ${key}`}, '5028'],
    [bearer('k'.repeat(257)), '5028'],
    [bearer(''), '5028'],
  ] as const) {
    const answer = await request(`${mesh.url}/stock/7`, {headers});
    t.is(answer.statusCode, 401);
    t.is(answer.headers['foxbarrow-code'], code);
    t.is(answer.headers['foxbarrow-effect'], 'not-run');
    t.is(answer.headers['www-authenticate'], 'Bearer realm="foxbarrow"');
    await answer.body.dump();
  }
  t.deepEqual(refused, [
    'key-required',
    'key-unknown',
    'key-required',
    'key-required',
    'key-required',
  ]);
  t.false(isReached);
});

test('a request with two authorization headers is refused', async t => {
  // Node.js shows only the first one in `headers`; another hop might use the
  // second.
  const mesh = await start(t);
  const line = `authorization: Bearer ${key}\r\n`;
  const {text} = await sendRaw(
    mesh.entry.address,
    `GET /stock HTTP/1.1\r\nhost: a\r\nconnection: close\r\n${line}${line}\r\n`,
  );
  t.true(text.startsWith('HTTP/1.1 401 '), text);
});

test('a refusal for a key comes before the body is read', async t => {
  const mesh = await start(t);
  const socket = openRaw(
    mesh.entry.address,
    'POST /bookings HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 9\r\n\r\n',
  );
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  t.true(chunk.toString().startsWith('HTTP/1.1 401 '), chunk.toString());
  socket.destroy();
});

test('a caller with a key is asked for its body', async t => {
  const mesh = await start(t);
  const socket = openRaw(
    mesh.entry.address,
    `POST /bookings HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n`,
  );
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  t.true(chunk.toString().startsWith('HTTP/1.1 100 '), chunk.toString());
  socket.destroy();
});

for (const hop of ['same node', 'framed', 'http'] as const) {
  test(`the upstream receives the workspace and not the key, ${hop}`, async t => {
    const {requests, listener} = createRecordingUpstream();
    const mesh = await start(t, {
      upstreams: [listener],
      sameNode: hop === 'same node',
      entry: {safeguards: {framedLinks: hop === 'framed'}},
    });
    const streamed = {method: 'PUT', body: Readable.from(['a', 'b'])} as const;
    for (const options of [{}, streamed]) {
      await (
        await request(`${mesh.url}/stock`, {
          ...options,
          headers: {AUTHORIZATION: `bearer ${key}`, 'x-kept': '1'},
        })
      ).body.dump();
    }
    for (const headers of [{}, bearer(key), bearer('other')]) {
      await (await request(`${mesh.url}/open`, {headers})).body.dump();
    }
    t.deepEqual(
      requests.map(headers => headers['foxbarrow-workspace']),
      ['millers', 'millers', undefined, 'millers', undefined],
    );
    t.is(requests[0]!['x-kept'], '1');
    for (const headers of requests) {
      t.false('authorization' in headers);
      t.false(JSON.stringify(headers).includes(key));
    }
  });
}

test('another scheme’s credentials are not forwarded either where keys are used', async t => {
  // A key that is sent under a wrong scheme is still a key.
  const {requests, listener} = createRecordingUpstream();
  const mesh = await start(t, {upstreams: [listener]});
  const headers = {authorization: `Token ${key}`};
  await (await request(`${mesh.url}/open`, {headers})).body.dump();
  t.false('authorization' in requests[0]!);
});

for (const framedLinks of [false, true]) {
  test(`a retry carries the workspace and not the key, framed links: ${framedLinks}`, async t => {
    const {requests, listener} = createRecordingUpstream();
    let closed = 0;
    const mesh = await start(t, {
      upstreams: [(_req, res) => (closed++, res.socket!.destroy()), listener],
      entry: {
        safeguards: {framedLinks},
        balancer: {choose: candidates => candidates[0]!},
      },
    });
    const headers = bearer(key);
    const answer = await request(`${mesh.url}/stock`, {headers});
    t.is(await answer.body.text(), 'here');
    t.is(closed, 1);
    t.is(requests[0]!['foxbarrow-workspace'], 'millers');
    t.false('authorization' in requests[0]!);
  });
}

for (const path of ['stock', 'open']) {
  test(`a caller can’t name a workspace in a header or trailer, route /${path}`, async t => {
    const {requests, listener} = createRecordingUpstream();
    const mesh = await start(t, {upstreams: [listener]});
    const names = [
      'foxbarrow-workspace',
      'Foxbarrow-Workspace',
      'FOXBARROW-WORKSPACE',
      'foxbarrow_workspace',
      'Foxbarrow_Tenant_Id',
      'foxbarrow-tenant_id',
    ];
    const head = [
      `PUT /${path} HTTP/1.1`,
      'host: a',
      'connection: close',
      'transfer-encoding: chunked',
      'trailer: foxbarrow-workspace, authorization',
      ...(path === 'stock' ? [`authorization: Bearer ${key}`] : []),
      ...names.map(name => `${name}: forged`),
    ];
    const trailers = [...names, 'authorization'].map(name => `${name}: forged`);
    const body = ['4', 'part', '0', ...trailers];
    const text = [...head, '', ...body, '', ''].join('\r\n');
    const answer = await sendRaw(mesh.entry.address, text);
    t.true(answer.text.startsWith('HTTP/1.1 200 '), answer.text);
    const expected = path === 'stock' ? 'millers' : undefined;
    t.is(requests[0]!['foxbarrow-workspace'], expected);
    t.false(JSON.stringify(requests).includes('forged'));
  });
}

for (const framedLinks of [false, true]) {
  test(`without keyed routes and workspaces the credentials are forwarded, framed links: ${framedLinks}`, async t => {
    const {requests, listener} = createRecordingUpstream();
    const open = configurationOf({
      services: [{name: 'stock-desk', slowStart: 0}],
      routes: [routeOf()],
      policies: [policyOf()],
    });
    const safeguards = {framedLinks};
    const options = {upstreams: [listener], entry: {safeguards}};
    const mesh = await start(t, options, open);
    const headers = {authorization: `bEARER  ${key}`};
    await (await request(`${mesh.url}/stock`, {headers})).body.dump();
    t.is(requests[0]!.authorization, `bEARER  ${key}`);
    t.false('foxbarrow-workspace' in requests[0]!);
  });
}

test('the priority of a workspace takes precedence over that of the policy', async t => {
  const {log, lines} = createRecordedLog();
  const configuration = keyedConfiguration(
    {...millers, priority: 'critical'},
    workspaceOf('bakers', ['other']),
  );
  const upstreams = [
    (_req: IncomingMessage, res: ServerResponse) => void res.socket!.destroy(),
  ];
  const mesh = await start(t, {upstreams, gate: {log}}, configuration);
  for (const value of [key, 'other']) {
    const headers = bearer(value);
    const options = {method: 'POST', headers, body: 'book'} as const;
    await (await request(`${mesh.url}/bookings`, options)).body.dump();
  }
  const offered = lines.filter(({message}) => message === 'offered');
  t.deepEqual(
    offered.map(({fields}) => fields.priority),
    ['critical', 'normal'],
  );
});

test('a call without a workspace counts as nested where callers have them', async t => {
  for (const workspaces of [[millers], []]) {
    const {log, lines} = createRecordedLog();
    const upstreams = [
      (_req: IncomingMessage, res: ServerResponse) =>
        void res.socket!.destroy(),
    ];
    const mesh = await start(
      t,
      {upstreams, gate: {log}},
      keyedConfiguration(...workspaces),
    );
    const options = {method: 'POST', body: 'book'} as const;
    await (await request(`${mesh.url}/open`, options)).body.dump();
    const offered = lines.find(({message}) => message === 'offered')!;
    t.is(offered.fields['nested'] === true, workspaces.length > 0);
  }
});

test('a node without confirmed keys refuses keyed requests and serves open ones', async t => {
  let state: KeyState = 'expired';
  const {requests, listener} = createRecordingUpstream();
  const entry = {keyState: () => state};
  const mesh = await start(t, {upstreams: [listener], entry});
  const ask = async (path: string, value: string) => {
    const headers = bearer(value);
    const answer = await request(`${mesh.url}${path}`, {headers});
    await answer.body.dump();
    return answer;
  };
  const refused = await ask('/stock', key);
  t.is(refused.statusCode, 503);
  t.is(refused.headers['foxbarrow-code'], '5030');
  t.is(refused.headers['foxbarrow-effect'], 'not-run');
  t.is(refused.headers['www-authenticate'], undefined);
  const wait = Number(refused.headers['foxbarrow-wait']);
  t.true(wait >= 500 && wait <= 1500, `${wait} ms`);
  t.is((await ask('/open', key)).statusCode, 200);
  t.is(requests[0]!['foxbarrow-workspace'], undefined);
  state = 'unconfirmed';
  t.is((await ask('/stock', key)).statusCode, 200);
  t.is((await ask('/stock', 'other')).statusCode, 503);
  state = 'confirmed';
  t.is((await ask('/stock', 'other')).statusCode, 401);
});

test('a request that waits at a gate runs after its key was removed', async t => {
  let configuration = keyedConfiguration(millers);
  const answers: Array<() => void> = [];
  const mesh = await start(t, {
    upstreams: [(_req, res) => answers.push(() => res.end('here'))],
    configuration: () => configuration,
    gate: {slots: 1},
  });
  const headers = bearer(key);
  const {gate} = mesh.members[0]!;
  const first = request(`${mesh.url}/stock/1`, {headers});
  while (gate.running === 0) await tick();
  const second = request(`${mesh.url}/stock/2`, {headers});
  while (gate.load < 2) await tick();
  configuration = keyedConfiguration({...millers, keys: []});
  answers.shift()!();
  t.is((await first).statusCode, 200);
  while (answers.length === 0) await tick();
  answers.shift()!();
  t.is((await second).statusCode, 200);
  t.is((await request(`${mesh.url}/stock/3`, {headers})).statusCode, 401);
});

test('workspaces that use the same idempotency key get their own answers', async t => {
  let booked = 0;
  const bakers = workspaceOf('bakers', ['other']);
  const mesh = await start(
    t,
    {
      claims: createFakeClaims(),
      upstreams: [(_req, res) => res.end(`booking ${++booked}`)],
    },
    keyedConfiguration(millers, bakers),
  );
  const book = async (value: string) => {
    const headers = {...bearer(value), 'idempotency-key': 'order-7'};
    const options = {method: 'POST', headers, body: 'book'} as const;
    return (await request(`${mesh.url}/bookings`, options)).body.text();
  };
  t.is(await book(key), 'booking 1');
  t.is(await book('other'), 'booking 2');
  t.is(await book(key), 'booking 1');
});

/** Sends requests with keys that end in every way, and returns all answers. */
async function sendAllKinds(mesh: Mesh): Promise<string> {
  const texts: string[] = [];
  const long = key.repeat(20);
  for (const authorization of [
    `Bearer ${key}`,
    `Bearer ${key}-unknown`,
    `Basic ${key}`,
    `Bearer ${key} ${key}`,
    `Bearer ${long}`,
    key,
  ]) {
    for (const path of ['/stock/1', '/open/2', '/bookings', '/nowhere']) {
      for (let count = 0; count < 4; count++) {
        const answer = await request(`${mesh.url}${path}`, {
          headers: {authorization},
        });
        const body = await answer.body.text().catch(String);
        texts.push(JSON.stringify(answer.headers), body);
      }
    }
  }
  for (const head of [
    `GET /stock HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\nauthorization: ${key}\r\n`,
    `GET /stock HTTP/1.1\r\nhost: a\r\nauthorization : Bearer ${key}\r\n`,
    `GET /stock HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\u0001\r\n`,
    `GET /stock HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(20_000)}\r\nauthorization: Bearer ${key}\r\n`,
    `PUT /stock HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\ntransfer-encoding: chunked\r\n\r\n${key}`,
  ]) {
    const text = `${head}connection: close\r\n\r\n`;
    texts.push((await sendRaw(mesh.entry.address, text)).text);
  }
  return texts.join('\n');
}

for (const framedLinks of [false, true]) {
  test(`no line at any level and no answer contains a key, framed links: ${framedLinks}`, async t => {
    const {log, lines} = createRecordedLog();
    let count = 0;
    const mesh = await start(t, {
      upstreams: [
        (req, res) => {
          req.resume();
          if (++count % 3 === 0) res.socket!.destroy();
          else res.end('here');
        },
      ],
      entry: {log, safeguards: {framedLinks}},
      gate: {log},
    });
    const answers = await sendAllKinds(mesh);
    const text = JSON.stringify(lines);
    t.true(lines.some(({message}) => message === 'key refused'));
    t.true(lines.some(({fields}) => fields.workspace === 'millers'));
    t.false(text.includes(key));
    t.false(answers.includes(key));
  });
}

test('the lines about keys are documented in docs/LOGS.md', async t => {
  const page = readFileSync('docs/LOGS.md', 'utf8');
  const {log, lines} = createRecordedLog();
  const mesh = await start(t, {entry: {log}});
  await sendAllKinds(mesh);
  for (const {message, fields} of lines) {
    for (const word of [message, ...Object.keys(fields)]) {
      t.true(page.includes(`\`${word}\``), word);
    }
  }
});

test('refused keys are logged by the beginning of their digest, up to a rate', async t => {
  const {log, lines} = createRecordedLog();
  const mesh = await start(t, {entry: {log}});
  for (let count = 0; count < 50; count++) {
    const headers = bearer('abc');
    await (await request(`${mesh.url}/stock`, {headers})).body.dump();
  }
  const refused = lines.filter(({message}) => message === 'key refused');
  t.is(refused.length, 10);
  t.is(refused[0]!.fields.digest, 'ba7816bf');
  t.is(refused[0]!.fields.name, 'key-unknown');
  t.is(refused[0]!.scope, 'entry');
});

function tick(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

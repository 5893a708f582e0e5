import {once} from 'node:events';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import type {QuotaDecision, Quotas} from '../quotas/quotas.js';
import {workspaceOf} from '../workspaces/fakes/configurations.js';
import {configurationOf, policyOf, routeOf} from './fakes/configurations.js';
import {createMesh} from './fakes/mesh.js';
import type {MeshOptions} from './fakes/mesh.js';
import {openRaw} from './fakes/raw-client.js';

const quota = {rate: 10, burst: 5};
const configuration = configurationOf({
  services: [{name: 'stock-desk', slowStart: 0}],
  routes: [
    routeOf({access: 'keyed'}),
    routeOf({name: 'open', prefix: '/open'}),
  ],
  policies: [policyOf({objective: {target: 0.99, latency: 210}})],
  workspaces: [
    workspaceOf('millers', ['limited'], {quota}),
    workspaceOf('bakers', ['unlimited']),
  ],
});

/** Turns of the event loop for which a test waits for a credit. */
const maxTurns = 1_000;

/** Quotas that decide as the test says and count the credits. */
function createFakeQuotas() {
  const asked: Array<{workspace: string; until: number}> = [];
  const counts = {taken: 0, returned: 0};
  let decide: () => QuotaDecision | Promise<QuotaDecision> = grant;

  function grant(): QuotaDecision {
    counts.taken++;
    return {kind: 'granted', credit: {giveBack: () => counts.returned++}};
  }

  const quotas: Quotas = {
    take: (workspace, until) => {
      asked.push({workspace, until});
      return decide();
    },
  };
  /** Waits for a credit that is given back, up to a number of turns. */
  async function waitForReturn(): Promise<void> {
    for (let turn = 0; turn < maxTurns; turn++) {
      if (counts.returned > 0) return;
      await tick();
    }
  }

  return {
    quotas,
    asked,
    waitForReturn,
    counts,
    grant,
    decideBy: (next: typeof decide) => (decide = next),
  };
}

async function start(
  t: ExecutionContext,
  quotas: Quotas,
  options: Partial<MeshOptions> = {},
) {
  const mesh = await createMesh({
    upstreams: [(_req, res) => res.end('here')],
    configuration: () => configuration,
    ...options,
    entry: {quotas, ...options.entry},
  });
  t.teardown(() => mesh.close());
  return mesh;
}

const limited = {authorization: 'Bearer limited'};

test('a credit is taken for workspaces with a quota only, on open routes too', async t => {
  const fake = createFakeQuotas();
  const mesh = await start(t, fake.quotas);
  for (const [path, headers] of [
    ['stock', limited],
    ['open', limited],
    ['stock', {authorization: 'Bearer unlimited'}],
    ['open', {}],
  ] as const) {
    const answer = await request(`${mesh.url}/${path}`, {headers});
    t.is(await answer.body.text(), 'here');
  }
  const expected = {workspace: 'millers', until: policyOf().deadline};
  t.deepEqual(fake.asked, [expected, expected]);
  t.deepEqual(fake.counts, {taken: 2, returned: 0});
});

// A home that is short of processor time takes a part of the objective.
test('a request waits for a credit while an answer can come by its deadline', async t => {
  const fake = createFakeQuotas();
  const instancePool = {crossings: 'dear'} as const;
  const mesh = await start(t, fake.quotas, {
    upstreams: [
      (_req, res) => {
        mesh.timers.advance(50);
        res.end('here');
      },
    ],
    entry: {instancePool},
  });
  const headers = {...limited, 'foxbarrow-timeout': '400'};
  const ask = async () => {
    const sentAt = mesh.timers.now();
    await (await request(`${mesh.url}/stock`, {headers})).body.dump();
    return fake.asked.at(-1)!.until - sentAt;
  };
  t.is(await ask(), 400);
  t.is(await ask(), 400 - 50);
});

for (const [reason, status, code] of [
  ['exceeded', 429, '5031'],
  ['unknown', 503, '5032'],
] as const) {
  test(`a request without a credit is refused before its body is read: ${reason}`, async t => {
    const fake = createFakeQuotas();
    const mesh = await start(t, fake.quotas);
    fake.decideBy(async () => ({kind: 'refused', reason, retryAfter: 0.25}));
    const answer = await request(`${mesh.url}/stock`, {headers: limited});
    t.is(answer.statusCode, status);
    t.is(answer.headers['foxbarrow-code'], code);
    t.is(answer.headers['foxbarrow-effect'], 'not-run');
    t.is(answer.headers['foxbarrow-wait'], '250');
    await answer.body.dump();
    const socket = openRaw(
      mesh.entry.address,
      'POST /stock HTTP/1.1\r\nhost: a\r\nauthorization: Bearer limited\r\nexpect: 100-continue\r\ncontent-length: 9\r\n\r\n',
    );
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    t.true(chunk.toString().startsWith(`HTTP/1.1 ${status} `));
    socket.destroy();
  });
}

test('a request with an unknown key asks for no credit', async t => {
  const fake = createFakeQuotas();
  const mesh = await start(t, fake.quotas);
  const headers = {authorization: 'Bearer other'};
  await (await request(`${mesh.url}/stock`, {headers})).body.dump();
  t.deepEqual(fake.asked, []);
});

test('the credit of a request that is refused as not run is given back', async t => {
  const fake = createFakeQuotas();
  const mesh = await start(t, fake.quotas);
  mesh.endpoints.remove('stock-desk', 'stock-desk-1');
  const answer = await request(`${mesh.url}/stock`, {headers: limited});
  t.is(answer.headers['foxbarrow-effect'], 'not-run');
  await answer.body.dump();
  await fake.waitForReturn();
  t.deepEqual(fake.counts, {taken: 1, returned: 1});
});

test('the credit of a request that may have run is kept', async t => {
  const fake = createFakeQuotas();
  const mesh = await start(t, fake.quotas, {
    upstreams: [(_req, res) => res.socket!.destroy()],
  });
  const answer = await request(`${mesh.url}/stock`, {headers: limited});
  t.is(answer.headers['foxbarrow-effect'], 'unknown');
  await answer.body.dump();
  for (let turn = 0; turn < 20; turn++) await tick();
  t.deepEqual(fake.counts, {taken: 1, returned: 0});
});

test('the credit of a caller that leaves while the upstream works is kept', async t => {
  const fake = createFakeQuotas();
  const mesh = await start(t, fake.quotas, {upstreams: [() => {}]});
  const socket = openRaw(
    mesh.entry.address,
    'GET /stock HTTP/1.1\r\nhost: a\r\nauthorization: Bearer limited\r\n\r\n',
  );
  while (mesh.members[0]!.gate.running === 0) await tick();
  socket.destroy();
  for (let turn = 0; turn < 50; turn++) await tick();
  t.deepEqual(fake.counts, {taken: 1, returned: 0});
});

for (const hasBody of [false, true]) {
  test(`the credit of a caller that leaves before anything was sent is given back, in its body: ${hasBody}`, async t => {
    const fake = createFakeQuotas();
    let isReached = false;
    const mesh = await start(t, fake.quotas, {
      upstreams: [() => (isReached = true)],
    });
    let decide: (decision: QuotaDecision) => void = () => {};
    if (!hasBody) {
      fake.decideBy(() => new Promise(resolve => (decide = resolve)));
    }
    const socket = openRaw(
      mesh.entry.address,
      `POST /stock HTTP/1.1\r\nhost: a\r\nauthorization: Bearer limited\r\ncontent-length: ${hasBody ? 9 : 0}\r\n\r\n`,
    );
    while (fake.asked.length === 0) await tick();
    socket.destroy();
    for (let turn = 0; turn < 50; turn++) await tick();
    if (!hasBody) decide(fake.grant());
    await fake.waitForReturn();
    t.deepEqual(fake.counts, {taken: 1, returned: 1});
    t.false(isReached);
  });
}

test('quotas that fail refuse the request as not run, with a line', async t => {
  const fake = createFakeQuotas();
  const {log, lines} = createRecordedLog();
  const mesh = await start(t, fake.quotas, {entry: {log}});
  fake.decideBy(() => Promise.reject(new Error('no home')));
  const answer = await request(`${mesh.url}/stock`, {headers: limited});
  t.is(answer.headers['foxbarrow-code'], '5032');
  await answer.body.dump();
  const line = lines.find(({level}) => level === 'error');
  t.deepEqual(line?.fields, {workspace: 'millers', reason: 'no home'});
});

function tick(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

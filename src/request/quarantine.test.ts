import {Readable} from 'node:stream';
import {request} from 'undici';
import test from 'ava';
import type {Quarantine} from '../configuration/configuration.js';
import {incarnationId} from '../quarantine/messages.js';
import type {Suspect} from '../quarantine/messages.js';
import {callOf} from './fakes/calls.js';
import {configurationOf, stockConfiguration} from './fakes/configurations.js';
import {createMesh} from './fakes/mesh.js';
import type {Mesh, MeshOptions} from './fakes/mesh.js';
import {suspectsOf} from './decisions/request-digest.js';
import {requestCodes} from './messages/codes.js';
import {settle} from '../time/fakes/fake-timers.js';

const path = '/stock/7';
const life = incarnationId('stock-desk-1', 1);

/** A mesh whose upstreams break off on `path` and answer all else. */
async function start(options: Partial<MeshOptions> = {}) {
  let configuration = stockConfiguration;
  const runs: string[] = [];
  const suspects: Suspect[] = [];
  const cleared: string[] = [];
  let isFixed = false;
  const mesh = await createMesh({
    upstreams: [1, 2, 3].map(() => (req, res) => {
      runs.push(req.url!);
      if (req.url === path && !isFixed) req.socket.destroy();
      else res.end('ok');
    }),
    configuration: () => configuration,
    ...options,
    gate: {
      life,
      isListening: async () => false,
      onCrash: found => suspects.push(...found),
      onCleared: name => cleared.push(name),
      ...options.gate,
    },
  });
  return {
    mesh,
    runs,
    suspects,
    cleared,
    fix: () => (isFixed = true),
    put: (quarantine: Quarantine) => {
      const {services, routes, policies} = stockConfiguration;
      configuration = configurationOf({
        services: [...services.values()],
        routes: [...routes.values()],
        policies: [...policies.values()],
        quarantines: [quarantine],
      });
    },
  };
}

type Stage = Awaited<ReturnType<typeof start>>;

async function ask({url}: Mesh, asked = path) {
  const {statusCode, headers, body} = await request(`${url}${asked}`);
  await body.dump();
  return {
    status: statusCode,
    code: Number(headers['foxbarrow-code'] ?? 0),
    effect: headers['foxbarrow-effect'],
    retryAfter: Number(headers['retry-after']),
  };
}

/** Has upstreams end under the request; gives what its gates told of it. */
async function crash({mesh, suspects, runs}: Stage): Promise<Suspect> {
  await ask(mesh);
  await mesh.timers.advanceAsync(50);
  runs.length = 0;
  return suspects[0]!;
}

/** Waits for what real sockets bring about, while time stands still. */
async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await settle(1);
}

function quarantineOf(suspect: Suspect, changes: Partial<Quarantine> = {}) {
  const ended = ['a/1', 'b/1', 'c/1'];
  return {
    ...suspect,
    state: 'held',
    since: 0,
    ended,
    trials: 0,
    ...changes,
  } as Quarantine;
}

test('a gate tells which requests ran when its upstream ended', async t => {
  const stage = await start();
  const {request: described, service} = await crash(stage);
  t.is(described, `GET ${path}`);
  t.is(service, 'stock-desk');
  await stage.mesh.close();
});

test('a connection that breaks under an upstream that goes on makes nobody suspect', async t => {
  const stage = await start({gate: {isListening: async () => true}});
  t.is(await crash(stage), undefined as unknown as Suspect);
  await stage.mesh.close();
});

test('without the safeguard a held request goes on ending instances', async t => {
  const safeguards = {quarantine: false};
  const stage = await start({entry: {safeguards}, gate: {safeguards}});
  stage.put(quarantineOf(await crash(stage)));
  t.is((await ask(stage.mesh)).code, requestCodes.upstreamLost.number);
  t.is(stage.runs.length, 2);
  await stage.mesh.close();
});

test('a held request gets a final answer at once and reaches no upstream', async t => {
  const stage = await start();
  stage.put(quarantineOf(await crash(stage)));
  const {status, code, effect, retryAfter} = await ask(stage.mesh);
  t.is(status, 503);
  t.is(code, requestCodes.quarantined.number);
  t.is(effect, 'not-run');
  t.is(retryAfter, 600);
  t.is((await ask(stage.mesh, '/stock/8')).status, 200);
  t.deepEqual(stage.runs, ['/stock/8']);
  await stage.mesh.close();
});

test('a request that is held while it is retried is not told as not run', async t => {
  const stage = await start();
  const suspect = await crash(stage);
  const held = quarantineOf(suspect);
  const {mesh, runs} = stage;
  for (const {upstream} of mesh.members) {
    upstream.prependListener('request', () => stage.put(held));
  }
  const {code, effect} = await ask(mesh);
  t.is(code, requestCodes.upstreamLost.number);
  t.is(effect, 'unknown');
  t.is(runs.length, 1);
  await mesh.close();
});

test('a gate whose entry has not heard yet holds the request too', async t => {
  const stage = await start({
    entry: {configuration: () => stockConfiguration},
  });
  stage.put(quarantineOf(await crash(stage)));
  t.is((await ask(stage.mesh)).code, requestCodes.quarantined.number);
  t.deepEqual(stage.runs, []);
  await stage.mesh.close();
});

test('a trial runs once, at the life that it names', async t => {
  const stage = await start();
  const suspect = await crash(stage);
  stage.put(
    quarantineOf(suspect, {state: 'on-trial', trials: 1, trialAt: life}),
  );
  const first = await ask(stage.mesh);
  t.is(first.code, requestCodes.upstreamLost.number);
  t.is((await ask(stage.mesh)).code, requestCodes.quarantined.number);
  t.is(stage.runs.length, 1);
  const elsewhere = {state: 'on-trial', trials: 2, trialAt: 'gone/1'} as const;
  stage.put(quarantineOf(suspect, elsewhere));
  t.is((await ask(stage.mesh)).code, requestCodes.quarantined.number);
  t.is(stage.runs.length, 1);
  await stage.mesh.close();
});

test('a trial whose caller left is not told as untried when the instance ends later', async t => {
  let isHeld = false;
  const stage = await start({
    upstreams: [
      (req, res) => {
        if (req.url === '/stock/hangs') isHeld = true;
        else if (isHeld || req.url === path) req.socket.destroy();
        else res.end('ok');
      },
    ],
  });
  const {mesh, suspects} = stage;
  const trial = {state: 'on-trial', trials: 1, trialAt: life} as const;
  const [hanging] = suspectsOf([callOf({path: '/stock/hangs', headers: []})]);
  stage.put(quarantineOf(hanging!, trial));
  const leaving = new AbortController();
  const left = request(`${mesh.url}/stock/hangs`, {signal: leaving.signal});
  await until(() => isHeld);
  leaving.abort();
  t.is(await left.catch(() => 'left'), 'left');
  await mesh.timers.advanceAsync(300);
  await until(() => mesh.members[0]!.gate.running === 0);
  await ask(mesh, '/stock/other');
  await mesh.timers.advanceAsync(50);
  const told = new Set(suspects.map(suspect => suspect.request));
  t.deepEqual([...told].sort(), ['GET /stock/hangs', 'GET /stock/other']);
  await mesh.close();
});

test('an answer clears a watched request and one on trial', async t => {
  const stage = await start();
  const suspect = await crash(stage);
  stage.fix();
  stage.put(quarantineOf(suspect, {state: 'watched'}));
  t.is((await ask(stage.mesh)).status, 200);
  stage.put(
    quarantineOf(suspect, {state: 'on-trial', trials: 1, trialAt: life}),
  );
  t.is((await ask(stage.mesh)).status, 200);
  t.deepEqual(stage.cleared, [suspect.name, suspect.name]);
  await stage.mesh.close();
});

test('a request that is answered after an instance broke off under it is told to be well', async t => {
  const cleared: string[] = [];
  const stage = await start({
    entry: {onCleared: name => cleared.push(name)},
  });
  for (const {upstream} of stage.mesh.members) {
    upstream.prependListener('request', () => {
      if (stage.runs.length > 0) stage.fix();
    });
  }
  t.is((await ask(stage.mesh)).status, 200);
  await stage.mesh.timers.advanceAsync(50);
  t.deepEqual(
    cleared,
    stage.suspects.map(({name}) => name),
  );
  t.is(cleared.length, 1);
  t.is((await ask(stage.mesh, '/stock/8')).status, 200);
  t.is(cleared.length, 1);
  await stage.mesh.close();
});

test('a body in chunks is told from another as one with a length is', async t => {
  const stage = await start({
    upstreams: [
      (req, res) => {
        req.resume();
        req.once('end', () => {
          stage.runs.push(req.url!);
          if (isCrashing) req.socket.destroy();
          else res.end('ok');
        });
      },
    ],
  });
  let isCrashing = true;
  const post = async (text: string, isChunked: boolean) => {
    const sent = isChunked
      ? Readable.from([text.slice(0, 2), text.slice(2)])
      : text;
    const {statusCode, body} = await request(`${stage.mesh.url}/bookings`, {
      method: 'POST',
      body: sent,
    });
    await body.dump();
    return statusCode;
  };
  await post('crash', true);
  await stage.mesh.timers.advanceAsync(50);
  isCrashing = false;
  t.is(stage.suspects.length, 1);
  stage.put(quarantineOf(stage.suspects[0]!));
  t.is(await post('crash', false), 503);
  t.is(await post('crash', true), 503);
  t.is(await post('works', true), 200);
  t.is(await post('works', false), 200);
  t.is(stage.runs.length, 3);
  await stage.mesh.close();
});

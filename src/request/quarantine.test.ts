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

/** Starts a mesh whose upstreams crash on `path` and answer other requests. */
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

type Fixture = Awaited<ReturnType<typeof start>>;

async function ask({url}: Mesh, requestPath = path) {
  const {statusCode, headers, body} = await request(`${url}${requestPath}`);
  await body.dump();
  return {
    status: statusCode,
    code: Number(headers['foxbarrow-code'] ?? 0),
    effect: headers['foxbarrow-effect'],
    retryAfter: Number(headers['retry-after']),
  };
}

/** Lets upstreams crash on the request and returns the reported suspect. */
async function crash({mesh, suspects, runs}: Fixture): Promise<Suspect> {
  await ask(mesh);
  await mesh.timers.advanceAsync(50);
  runs.length = 0;
  return suspects[0]!;
}

/** Waits for effects of real sockets without advancing the time. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await settle(1);
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

test('a gate reports the requests that were running when its upstream crashed', async t => {
  const fixture = await start();
  const {request: described, service} = await crash(fixture);
  t.is(described, `GET ${path}`);
  t.is(service, 'stock-desk');
  await fixture.mesh.close();
});

test('a broken connection to an upstream that still listens reports no suspects', async t => {
  const fixture = await start({gate: {isListening: async () => true}});
  t.is(await crash(fixture), undefined as unknown as Suspect);
  await fixture.mesh.close();
});

test('without the safeguard a quarantined request crashes further instances', async t => {
  const safeguards = {quarantine: false};
  const fixture = await start({entry: {safeguards}, gate: {safeguards}});
  fixture.put(quarantineOf(await crash(fixture)));
  t.is((await ask(fixture.mesh)).code, requestCodes.upstreamLost.number);
  t.is(fixture.runs.length, 2);
  await fixture.mesh.close();
});

test('a quarantined request is refused at once and reaches no upstream', async t => {
  const fixture = await start();
  fixture.put(quarantineOf(await crash(fixture)));
  const {status, code, effect, retryAfter} = await ask(fixture.mesh);
  t.is(status, 503);
  t.is(code, requestCodes.quarantined.number);
  t.is(effect, 'not-run');
  t.is(retryAfter, 600);
  t.is((await ask(fixture.mesh, '/stock/8')).status, 200);
  t.deepEqual(fixture.runs, ['/stock/8']);
  await fixture.mesh.close();
});

test('a request that is quarantined during its retries is not refused as not run', async t => {
  const fixture = await start();
  const suspect = await crash(fixture);
  const held = quarantineOf(suspect);
  const {mesh, runs} = fixture;
  for (const {upstream} of mesh.members) {
    upstream.prependListener('request', () => fixture.put(held));
  }
  const {code, effect} = await ask(mesh);
  t.is(code, requestCodes.upstreamLost.number);
  t.is(effect, 'unknown');
  t.is(runs.length, 1);
  await mesh.close();
});

test('a gate refuses a quarantined request whose entry does not have the quarantine yet', async t => {
  const fixture = await start({
    entry: {configuration: () => stockConfiguration},
  });
  fixture.put(quarantineOf(await crash(fixture)));
  t.is((await ask(fixture.mesh)).code, requestCodes.quarantined.number);
  t.deepEqual(fixture.runs, []);
  await fixture.mesh.close();
});

test('a trial runs once, at the incarnation that it names', async t => {
  const fixture = await start();
  const suspect = await crash(fixture);
  fixture.put(
    quarantineOf(suspect, {state: 'on-trial', trials: 1, trialAt: life}),
  );
  const first = await ask(fixture.mesh);
  t.is(first.code, requestCodes.upstreamLost.number);
  t.is((await ask(fixture.mesh)).code, requestCodes.quarantined.number);
  t.is(fixture.runs.length, 1);
  const elsewhere = {state: 'on-trial', trials: 2, trialAt: 'gone/1'} as const;
  fixture.put(quarantineOf(suspect, elsewhere));
  t.is((await ask(fixture.mesh)).code, requestCodes.quarantined.number);
  t.is(fixture.runs.length, 1);
  await fixture.mesh.close();
});

test('a trial whose caller disconnected is reported when the instance crashes later', async t => {
  let isHeld = false;
  const fixture = await start({
    upstreams: [
      (req, res) => {
        if (req.url === '/stock/hangs') isHeld = true;
        else if (isHeld || req.url === path) req.socket.destroy();
        else res.end('ok');
      },
    ],
  });
  const {mesh, suspects} = fixture;
  const trial = {state: 'on-trial', trials: 1, trialAt: life} as const;
  const [hanging] = suspectsOf([callOf({path: '/stock/hangs', headers: []})]);
  fixture.put(quarantineOf(hanging!, trial));
  const leaving = new AbortController();
  const pending = request(`${mesh.url}/stock/hangs`, {signal: leaving.signal});
  await until(() => isHeld);
  leaving.abort();
  t.is(await pending.catch(() => 'left'), 'left');
  await mesh.timers.advanceAsync(300);
  await until(() => mesh.members[0]!.gate.running === 0);
  await ask(mesh, '/stock/other');
  await mesh.timers.advanceAsync(50);
  const reported = new Set(suspects.map(suspect => suspect.request));
  t.deepEqual([...reported].sort(), ['GET /stock/hangs', 'GET /stock/other']);
  await mesh.close();
});

test('an answer clears a watched request and one on trial', async t => {
  const fixture = await start();
  const suspect = await crash(fixture);
  fixture.fix();
  fixture.put(quarantineOf(suspect, {state: 'watched'}));
  t.is((await ask(fixture.mesh)).status, 200);
  fixture.put(
    quarantineOf(suspect, {state: 'on-trial', trials: 1, trialAt: life}),
  );
  t.is((await ask(fixture.mesh)).status, 200);
  t.deepEqual(fixture.cleared, [suspect.name, suspect.name]);
  await fixture.mesh.close();
});

test('a request that is answered after an attempt crashed an instance is reported as cleared', async t => {
  const cleared: string[] = [];
  const fixture = await start({
    entry: {onCleared: name => cleared.push(name)},
  });
  for (const {upstream} of fixture.mesh.members) {
    upstream.prependListener('request', () => {
      if (fixture.runs.length > 0) fixture.fix();
    });
  }
  t.is((await ask(fixture.mesh)).status, 200);
  await fixture.mesh.timers.advanceAsync(50);
  t.deepEqual(
    cleared,
    fixture.suspects.map(({name}) => name),
  );
  t.is(cleared.length, 1);
  t.is((await ask(fixture.mesh, '/stock/8')).status, 200);
  t.is(cleared.length, 1);
  await fixture.mesh.close();
});

test('a request is identified by its body, with a length and in chunks alike', async t => {
  const fixture = await start({
    upstreams: [
      (req, res) => {
        req.resume();
        req.once('end', () => {
          fixture.runs.push(req.url!);
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
    const {statusCode, body} = await request(`${fixture.mesh.url}/bookings`, {
      method: 'POST',
      body: sent,
    });
    await body.dump();
    return statusCode;
  };
  await post('crash', true);
  await fixture.mesh.timers.advanceAsync(50);
  isCrashing = false;
  t.is(fixture.suspects.length, 1);
  fixture.put(quarantineOf(fixture.suspects[0]!));
  t.is(await post('crash', false), 503);
  t.is(await post('crash', true), 503);
  t.is(await post('works', true), 200);
  t.is(await post('works', false), 200);
  t.is(fixture.runs.length, 3);
  await fixture.mesh.close();
});

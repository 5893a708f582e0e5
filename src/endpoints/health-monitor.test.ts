import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {
  createEndlessServer,
  endlessBodies,
  endlessHeads,
} from '../link/fakes/endless-server.js';
import type {EndlessBytes} from '../link/fakes/endless-server.js';
import {createSilentLog} from '../log/log.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import {createAnnouncer} from './announcer.js';
import {upstream} from './fakes/mesh.js';
import {createHealthMonitor, createProbe} from './health-monitor.js';
import type {Observation, Probing} from './health-monitor.js';

function startAnnouncer() {
  const timers = createFakeTimers(1_000_000);
  const announcer = createAnnouncer({
    name: 'crewbook-1',
    gate: '10.0.0.1:7000',
    failureDomain: 'hall-a',
    region: 'astana',
    timers,
    log: createSilentLog(),
    warmUp: 0,
  });
  return {timers, announcer};
}

function start() {
  const {timers, announcer} = startAnnouncer();
  let probed: Observation = 'well';
  const health = createHealthMonitor({
    timers,
    announcer,
    probe: async () => probed,
  });
  announcer.announce(upstream());
  timers.advance(1);
  return {
    announcer,
    health,
    state: () => announcer.current()!.state,
    async probeFor(observation: Observation, seconds: number) {
      probed = observation;
      await timers.advanceAsync(seconds * 1000);
    },
  };
}

test('a failed health check alone does not take an upstream out of service', async t => {
  const {health, state, probeFor} = start();
  await probeFor('unwell', 60);
  t.is(health.verdict(), 'doubtful');
  t.is(state(), 'serving');
  health.observe('answered');
  t.is(health.verdict(), 'ready');
});

test('refused connections take a dead upstream out of service though its health check succeeds', async t => {
  // The upstream's port is closed while its health path is still answered. Three
  // consecutive connections of the gate are refused between two probes, so the
  // instance is gone.
  const {health, state, probeFor} = start();
  await probeFor('well', 5);
  const slow = Object.assign(new Error(), {code: 'UND_ERR_CONNECT_TIMEOUT'});
  for (let turn = 0; turn < 3; turn++) health.observeConnection(slow);
  t.is(health.verdict(), 'ready');
  for (let turn = 0; turn < 3; turn++) health.observeConnection(refusal);
  t.is(health.verdict(), 'dead');
  t.is(state(), 'gone');
});

test('refusals with answers in between do not make an upstream dead', async t => {
  const {health, state} = start();
  for (let turn = 0; turn < 10; turn++) {
    health.observe('refused');
    health.observe('refused');
    health.observe('answered');
  }
  t.is(state(), 'serving');
});

test('a dead upstream that accepts connections again is a new incarnation', async t => {
  const {announcer, state, probeFor} = start();
  const first = announcer.current()!.incarnation;
  await probeFor('refused', 4);
  t.is(state(), 'gone');
  announcer.announce(upstream());
  t.is(state(), 'gone');
  await probeFor('well', 1);
  t.is(state(), 'serving');
  t.true(announcer.current()!.incarnation > first);
});

const refusal = Object.assign(new Error(), {code: 'ECONNREFUSED'});

/** A monitor whose probes end when the test says. */
function startPending(probing: Probing) {
  const {announcer, timers} = startAnnouncer();
  const probes: Array<(observation: Observation) => void> = [];
  const health = createHealthMonitor({
    timers,
    announcer,
    probing,
    probe: () => new Promise(resolve => probes.push(resolve)),
  });
  const lose = () => {
    for (let turn = 0; turn < 3; turn++) health.observeConnection(refusal);
  };
  return {announcer, timers, health, probes, lose};
}

test('a check of a dead upstream that hangs does not delay those of its successors', async t => {
  const {announcer, timers, health, probes, lose} = startPending('when-dead');
  for (let started = 1; started <= 3; started++) {
    announcer.announce(upstream({started}));
    await timers.advanceAsync(1000);
    t.not(announcer.current()!.state, 'gone');
    lose();
    t.is(announcer.current()!.state, 'gone');
    await timers.advanceAsync(2000);
    t.is(probes.length, started);
  }
  probes[2]!('well');
  await settle();
  t.is(health.verdict(), 'ready');
  t.not(announcer.current()!.state, 'gone');
});

test('a late result of a check is not applied to the next upstream at that address', async t => {
  const {announcer, timers, health, probes, lose} = startPending('when-dead');
  announcer.announce(upstream({started: 1}));
  await timers.advanceAsync(1000);
  lose();
  await timers.advanceAsync(1000);
  announcer.announce(upstream({started: 2}));
  probes[0]!('refused');
  await settle();
  t.is(health.verdict(), 'unknown');
  t.not(announcer.current()!.state, 'gone');
});

test('refused connections of an earlier upstream do not count for the next one at that address', async t => {
  const {announcer, timers, health, lose} = startPending('when-dead');
  const first = upstream({started: 1});
  announcer.announce(first);
  await timers.advanceAsync(1000);
  lose();
  announcer.announce(upstream({started: 2}));
  t.is(health.verdict(), 'unknown');
  for (let turn = 0; turn < 3; turn++) health.observeConnection(refusal, first);
  health.observeConnection(refusal);
  health.observeConnection(refusal);
  t.not(announcer.current()!.state, 'gone');
  health.observeConnection(refusal);
  t.is(announcer.current()!.state, 'gone');
});

test('a renewed announcement does not end the check of its upstream', async t => {
  const {announcer, timers, health, probes} = startPending('always');
  announcer.announce(upstream({started: 1}));
  await timers.advanceAsync(1000);
  announcer.announce(upstream({started: 1}));
  await timers.advanceAsync(2000);
  t.is(probes.length, 1);
  probes[0]!('well');
  await settle();
  t.is(health.verdict(), 'ready');
});

test('the probe distinguishes a refused connection from a failed health check', async t => {
  const server = createServer((incoming, response) => {
    response.setHeader('foxbarrow-limit', '5');
    response.statusCode = incoming.url === '/health' ? 200 : 503;
    response.end();
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const answers: string[][] = [];
  const probe = createProbe({
    timers: createFakeTimers(),
    timeout: 5000,
    onAnswer: (_upstream, headers) => void answers.push(headers),
  });
  t.is(await probe(upstream({address})), 'well');
  t.is(await probe(upstream({address, healthPath: '/health'})), 'well');
  t.is(await probe(upstream({address, healthPath: '/bad'})), 'unwell');
  // An instance that gets no other requests reports its limit in these answers.
  const values = answers.map(each => each[each.indexOf('foxbarrow-limit') + 1]);
  t.deepEqual(values, ['5', '5']);
  await new Promise(resolve => {
    server.close(resolve);
    server.closeAllConnections();
  });
  t.is(await probe(upstream({address})), 'refused');
  t.is(await probe(upstream({address, healthPath: '/health'})), 'refused');
});

/** Probes the health path of an upstream that sends `bytes`. */
async function probeEndless(t: ExecutionContext, bytes: EndlessBytes) {
  const timers = createFakeTimers();
  const server = await createEndlessServer(() => bytes);
  t.teardown(server.close);
  const probe = createProbe({timers, timeout: 500});
  const {address} = server;
  const observation = probe(upstream({address, healthPath: '/health'}));
  return {timers, server, observation};
}

for (const [name, bytes] of Object.entries(endlessHeads)) {
  test(`a health check without an answer ends by its timeout: ${name}`, async t => {
    const {timers, server, observation} = await probeEndless(t, bytes);
    await server.asked(1);
    timers.advance(500);
    t.is(await observation, 'unwell');
    await server.closed();
  });
}

for (const [name, bytes] of Object.entries(endlessBodies)) {
  test(`a health check does not wait for the end of the answer: ${name}`, async t => {
    const {server, observation} = await probeEndless(t, bytes);
    t.is(await observation, 'well');
    await server.closed();
  });
}

test('a health check keeps no connection for the next one', async t => {
  const timers = createFakeTimers();
  const server = await createEndlessServer(connection => ({
    start: `HTTP/1.1 ${connection === 1 ? 200 : 503} S\r\nContent-Length: 0\r\n\r\n`,
  }));
  t.teardown(server.close);
  const probe = createProbe({timers, timeout: 500});
  const checked = upstream({address: server.address, healthPath: '/health'});
  t.is(await probe(checked), 'well');
  t.is(await probe(checked), 'unwell');
  t.is(server.accepted(), 2);
  await server.closed();
});

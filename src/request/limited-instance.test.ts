import type {RequestListener} from 'node:http';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import type {FakeTimers} from '../time/fakes/fake-timers.js';
import {configurationOf, policyOf, routeOf} from './fakes/configurations.js';
import {createMesh} from './fakes/mesh.js';
import type {Mesh, MeshOptions} from './fakes/mesh.js';

/** Milliseconds. */
const step = 50;
const limit = 5;

/** Without an objective that leaves time, no call waits for a token. */
const configuration = configurationOf({
  services: [{name: 'stock-desk', slowStart: 0}],
  policies: [policyOf({objective: {target: 0.99, latency: 1}})],
  routes: [routeOf()],
});

/** Counts the requests of each upstream; the first one names a limit. */
function createUpstreams(count: number, now: () => number) {
  const arrivals = Array.from({length: count}, (): number[] => []);
  const listeners = arrivals.map((times, index): RequestListener => {
    return (incoming, response) => {
      incoming.resume();
      times.push(now());
      if (index === 0) response.setHeader('foxbarrow-limit', `${limit}`);
      response.setHeader('content-length', 2);
      response.end('ok');
    };
  });
  return {arrivals, listeners};
}

async function startMesh(
  t: ExecutionContext,
  count: number,
  options: Partial<MeshOptions> = {},
) {
  const clock: {timers?: FakeTimers} = {};
  const upstreams = createUpstreams(count, () => clock.timers?.now() ?? 0);
  const mesh = await createMesh({
    upstreams: upstreams.listeners,
    configuration: () => configuration,
    ...options,
  });
  clock.timers = mesh.timers;
  t.teardown(() => mesh.close());
  return {mesh, arrivals: upstreams.arrivals};
}

/** Sends two requests in each step; returns the statuses. */
async function sendSteadily(
  {url, timers}: Mesh,
  duration: number,
  body?: Buffer,
): Promise<number[]> {
  const statuses: number[] = [];
  const method = body === undefined ? 'GET' : 'PUT';
  const send = async () => {
    const answer = await request(`${url}/stock/7`, {method, body});
    await answer.body.dump();
    statuses.push(answer.statusCode);
  };
  for (let time = 0; time < duration; time += step) {
    timers.advance(step);
    await Promise.all([send(), send()]);
  }
  return statuses;
}

const rateSince = (times: readonly number[], from: number, to: number) =>
  times.filter(at => at >= from).length / ((to - from) / 1_000);

for (const sameNode of [false, true]) {
  test(`requests above an instance's limit are served by the others, entry beside it: ${sameNode}`, async t => {
    // At the limit its slots are idle, so that it was chosen more often, and
    // the refused requests used up the budget for further attempts.
    const {mesh, arrivals} = await startMesh(t, 3, {sameNode});
    const statuses = await sendSteadily(mesh, 8_000);
    t.deepEqual(new Set(statuses), new Set([200]));
    const rate = rateSince(arrivals[0]!, 1_000, 8_000);
    t.true(rate <= 1.1 * limit, `${rate} requests per second`);
  });
}

test('without room elsewhere, requests above the limit are refused as not run', async t => {
  const {mesh, arrivals} = await startMesh(t, 1);
  const statuses = await sendSteadily(mesh, 4_000);
  t.deepEqual(new Set(statuses), new Set([200, 503]));
  const served = statuses.filter(status => status === 200).length;
  t.is(served, arrivals[0]!.length);
  t.true(served >= 0.9 * limit * 4, `${served} served`);
});

for (const size of [1, 128 * 1024]) {
  for (const adoptedReports of [true, false]) {
    test(`a gate that has restarted keeps to a limit that entries know, bodies of ${size} bytes: ${adoptedReports}`, async t => {
      // It knew no limit until the first answer, and all its slots were used.
      const gate = {safeguards: {adoptedReports}};
      const {mesh, arrivals} = await startMesh(t, 1, {gate});
      const body = Buffer.alloc(size);
      await sendSteadily(mesh, 500, body);
      const before = arrivals[0]!.length;
      await mesh.restartGate(0);
      const send = async () => {
        const sent = request(`${mesh.url}/stock/7`, {method: 'PUT', body});
        await (await sent).body.dump();
      };
      await Promise.all(Array.from({length: 12}, send));
      const sent = arrivals[0]!.length - before;
      t.is(sent <= 2, adoptedReports, `${sent} requests at once`);
    });
  }
}

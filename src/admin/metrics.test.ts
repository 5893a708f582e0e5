import test from 'ava';
import {Registry} from 'prom-client';
import {commonCodes} from '../result/codes.js';
import {createMetrics, classifyAnswer} from './metrics.js';

function createAnswer(route: string, status = 200, duration = 5) {
  return {
    route,
    service: `service-of-${route}`,
    policy: 'lookups',
    code: commonCodes.ok,
    status,
    whole: true,
    duration,
    objective: 50,
  };
}

test('answers are counted by route, code and verdict', async t => {
  const registry = new Registry();
  const metrics = createMetrics({registry});
  metrics.answered(createAnswer('stock'));
  metrics.answered(createAnswer('stock', 200, 51));
  metrics.answered(createAnswer('stock', 503));
  const text = await registry.metrics();
  for (const verdict of ['good', 'slow', 'failed']) {
    t.true(
      text.includes(
        `foxbarrow_requests_total{route="stock",service="service-of-stock",policy="lookups",code="1000",verdict="${verdict}"} 1`,
      ),
      verdict,
    );
  }
  t.regex(text, /foxbarrow_request_seconds_count\{route="stock"\} 3/);
});

test('errors of the caller consume no error budget; refusals and slow answers do', t => {
  t.is(classifyAnswer(createAnswer('a', 404)), 'good');
  t.is(classifyAnswer({...createAnswer('a', 499), whole: false}), 'good');
  t.is(classifyAnswer({...createAnswer('a', 499, 51), whole: false}), 'slow');
  t.is(
    classifyAnswer({...createAnswer('a'), whole: false}),
    'failed',
    'cut short',
  );
  t.is(classifyAnswer(createAnswer('a', 429)), 'failed');
  t.is(classifyAnswer(createAnswer('a', 502)), 'failed');
  t.is(classifyAnswer(createAnswer('a', 200, 51)), 'slow');
  t.is(classifyAnswer(createAnswer('a', 200, 50)), 'good');
});

test('with 710 services the number of series is bounded and every answer is counted', async t => {
  // Without the limit, the number of series grows with the routes of the fleet
  // until the process runs out of memory.
  const routeLimit = 64;
  const registry = new Registry();
  const metrics = createMetrics({registry, routeLimit});
  for (let number = 0; number < 710; number++) {
    metrics.answered(createAnswer(`route-${number}`));
    metrics.retried(`service-${number}`, 1);
  }
  const lines = (await registry.metrics()).split('\n');
  const counted = lines.filter(line => line.startsWith('foxbarrow_requests_'));
  t.is(counted.length, routeLimit + 1);
  const total = counted
    .map(line => Number(line.split(' ').at(-1)))
    .reduce((sum, count) => sum + count, 0);
  t.is(total, 710);
  t.true(counted.some(line => line.includes('route="other",service="other"')));
  const maxSeries = (routeLimit + 1) * 17 + 100;
  t.true(lines.filter(line => !line.startsWith('#')).length < maxSeries);

  const unbounded = new Registry();
  const unlimited = createMetrics({registry: unbounded, routeLimit: Infinity});
  for (let number = 0; number < 710; number++) {
    unlimited.answered(createAnswer(`route-${number}`));
  }
  const many = (await unbounded.metrics()).split('\n').length;
  t.true(many > maxSeries, 'without the limit there are more series');
});

test('the state of the gate, the control group and the versions is published', async t => {
  const registry = new Registry();
  const metrics = createMetrics({registry});
  metrics.load({queued: 2, running: 10, slots: 10, unsent: 4096});
  metrics.signals({
    limit: 17.3,
    isLeaving: true,
    malformed: 2,
    observed: {
      rejected: 40,
      stray: 3,
      contradicted: 1,
      unreadable: 5,
      endless: 2,
    },
  });
  metrics.claims({held: 40, limit: 20_000});
  metrics.inForce(17);
  metrics.converged(120);
  metrics.traffic('distribution', 10, 20);
  metrics.traffic('distribution', 1, 2);
  metrics.control({
    term: 3,
    isLeader: true,
    commitIndex: 17,
    logBytes: 100,
    snapshotBytes: 50,
  });
  metrics.fleet(12);
  metrics.unconfirmed(1400);
  metrics.keyRefused('key-unknown');
  metrics.keyRefused('key-unknown');
  const text = await registry.metrics();
  for (const line of [
    'foxbarrow_gate_requests{kind="queued"} 2',
    'foxbarrow_gate_unsent_bytes 4096',
    'foxbarrow_upstream_limit{kind="rate"} 17.3',
    'foxbarrow_upstream_signals{kind="leaving"} 1',
    'foxbarrow_upstream_signals{kind="malformed"} 2',
    'foxbarrow_upstream_signals{kind="rejected"} 40',
    'foxbarrow_upstream_signals{kind="stray"} 3',
    'foxbarrow_upstream_signals{kind="contradicted"} 1',
    'foxbarrow_upstream_signals{kind="unreadable"} 5',
    'foxbarrow_upstream_signals{kind="endless"} 2',
    'foxbarrow_claims{kind="held"} 40',
    'foxbarrow_configuration_version{kind="in-force"} 17',
    'foxbarrow_convergence_seconds_bucket{le="0.25"} 1',
    'foxbarrow_control_bytes_total{link="distribution",direction="out"} 22',
    'foxbarrow_control_group{kind="leader"} 1',
    'foxbarrow_nodes{kind="known"} 12',
    'foxbarrow_unconfirmed_seconds_sum 1.4',
    'foxbarrow_keys_refused_total{reason="key-unknown"} 2',
  ]) {
    t.true(text.includes(line), line);
  }
});

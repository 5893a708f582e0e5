import test from 'ava';
import {createSilentLog} from '../../log/log.js';
import {createRandom} from '../../random/random.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {callOf} from '../fakes/calls.js';
import {stockConfiguration} from '../fakes/configurations.js';
import {createFakeAnswer} from '../fakes/fake-answer.js';
import {announcementOf, createFakeEndpoints} from '../fakes/fake-endpoints.js';
import {createAnswerSizes} from './answer-sizes.js';
import {createAttempts} from './attempts.js';
import {createPowerOfTwoBalancer} from './balancer.js';
import {createInstancePool} from './instance-pool.js';
import {createRequestTracer} from './request-tracer.js';

// The caller must hear at once that nothing was run, and when to come back.
test('a call that no instance is expected to answer in time is refused without an attempt', async t => {
  const timers = createFakeTimers(1_000);
  const log = createSilentLog();
  const random = createRandom(1);
  const endpoints = createFakeEndpoints();
  endpoints.put(announcementOf());
  const pool = createInstancePool({
    crossings: 'dear',
    probeShare: 0,
    failureDomain: 'rusayl-a',
    endpoints,
    balancer: createPowerOfTwoBalancer(random),
    random,
    timers,
    log,
  });
  const {service} = callOf();
  const route = stockConfiguration.routes.get('stock')!;
  const policy = stockConfiguration.policies.get(route.policy)!;
  const target = pool.choose(service, stockConfiguration, new Set())!;
  const kind = {policy: policy.name, priority: 'normal'} as const;
  target.updateEstimate(kind, {wait: 3_000, work: 100, step: 10});
  const now = timers.now();
  const call = callOf({deadline: now + 2_000, goodUntil: now + 1_000});
  const answer = createFakeAnswer();
  const attempts = createAttempts({
    call,
    match: {route, policy, service},
    configuration: stockConfiguration,
    answer,
    pool,
    sizes: createAnswerSizes(),
    links: {handle: () => t.fail('the call was sent') as never},
    gate: undefined,
    timers,
    trace: createRequestTracer({log, timers}).begin(call.id),
    quarantine: () => undefined,
    onCleared: () => {},
    once: true,
  });
  attempts.start();
  t.is(await answer.summary(), 'deadline-unreachable not-run');
  t.is(attempts.count(), 0);
  t.true(answer.refusal!.retryAfter >= 2.1);
});

/** The attempts of an entry before one instance, without a network. */
import {createSilentLog} from '../../log/log.js';
import {createRandom} from '../../random/random.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createAnswerSizes} from '../decisions/answer-sizes.js';
import {createAttempts} from '../decisions/attempts.js';
import {createPowerOfTwoBalancer} from '../decisions/balancer.js';
import {createInstancePool} from '../decisions/instance-pool.js';
import {createRequestTracer} from '../decisions/request-tracer.js';
import type {Answer} from '../messages/answer.js';
import {callOf} from './calls.js';
import {stockConfiguration} from './configurations.js';
import {createFakeAnswer} from './fake-answer.js';
import {announcementOf, createFakeEndpoints} from './fake-endpoints.js';

/** Milliseconds until the deadline of a call. */
const timeout = 2_000;

/** Creates the entry's pool and a function that makes calls. */
export function createAttemptsOfEntry() {
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

  /** Makes a call that is good for some time; `handle` answers attempts. */
  function start(goodFor: number, handle: (answer: Answer) => void) {
    const now = timers.now();
    const call = callOf({deadline: now + timeout, goodUntil: now + goodFor});
    const answer = createFakeAnswer();
    const attempts = createAttempts({
      call,
      match: {route, policy, service},
      configuration: stockConfiguration,
      answer,
      pool,
      sizes: createAnswerSizes(),
      links: {
        handle: (_call, _limit, _target, attemptAnswer) => {
          handle(attemptAnswer);
          return () => {};
        },
      },
      gate: undefined,
      timers,
      trace: createRequestTracer({log, timers}).begin(call.id),
      quarantine: () => undefined,
      onCleared: () => {},
      once: true,
    });
    attempts.start();
    return {answer, attempts};
  }

  return {timers, pool, service, policy, start};
}

import test from 'ava';
import {requestCodes} from '../messages/codes.js';
import {policyOf} from '../fakes/configurations.js';
import {shouldRetry} from './retry.js';
import type {RefusedAttempt} from './retry.js';
import {createRetryBudget} from './retry-budget.js';

function refused(changes: Partial<RefusedAttempt> = {}): RefusedAttempt {
  return {
    code: requestCodes.full,
    policy: policyOf({repeatability: 'once'}),
    attempts: 1,
    losses: 0,
    left: 100,
    replayable: true,
    budget: createRetryBudget(),
    moves: createRetryBudget(),
    ...changes,
  };
}

test('a request that was not run is retried', t => {
  t.true(shouldRetry(refused()));
});

test('a request that may have run is retried only if it is idempotent', t => {
  const code = requestCodes.upstreamLost;
  t.false(shouldRetry(refused({code})));
  t.true(shouldRetry(refused({code, policy: policyOf()})));
});

test('a request without time, attempts or a replayable body is not retried', t => {
  t.false(shouldRetry(refused({left: 0})));
  t.false(shouldRetry(refused({attempts: 3})));
  t.false(shouldRetry(refused({replayable: false})));
});

test('a request that lost its connection to two instances is not sent to a third', t => {
  const attempt = {code: requestCodes.upstreamLost, policy: policyOf()};
  t.true(shouldRetry(refused({...attempt, losses: 1})));
  t.false(shouldRetry(refused({...attempt, attempts: 2, losses: 2})));
});

test('refusals that every instance would give are final', t => {
  t.false(shouldRetry(refused({code: requestCodes.bodyTooLarge})));
  t.false(shouldRetry(refused({code: requestCodes.deadlinePassed})));
});

for (const ratio of [Infinity, 0.1]) {
  test(`retries while every attempt is refused, with a budget ratio of ${ratio}`, t => {
    // All instances are full. Without a retry budget each request is sent three
    // times, which triples the overload.
    const budget = createRetryBudget({ratio, most: ratio * 100});
    let retries = 0;
    for (let request = 0; request < 1000; request++) {
      budget.earn();
      for (let attempts = 1; attempts < 4; attempts++) {
        const attempt = refused({attempts, budget, moves: budget});
        if (!shouldRetry(attempt)) break;
        retries++;
      }
    }
    if (ratio === Infinity) t.is(retries, 2000);
    else t.true(retries <= 110, String(retries));
  });
}

test('a retry after a drain does not use the budget', t => {
  const budget = createRetryBudget({most: 0});
  const empty = {budget, moves: budget};
  t.true(shouldRetry(refused({code: requestCodes.draining, ...empty})));
  t.false(shouldRetry(refused({code: requestCodes.full, ...empty})));
});

test('a move from a gate without capacity does not use the retry budget', t => {
  // One gate has no capacity before the deadline, another one has. The retry
  // limit that operators set counts calls that reach an instance, which a move
  // does not.
  const empty = createRetryBudget({most: 0});
  const code = requestCodes.deadlineUnreachable;
  t.true(shouldRetry(refused({code, budget: empty})));
  t.false(shouldRetry(refused({code, moves: empty})));
  const refusedByInstance = requestCodes.upstreamRefused;
  t.true(shouldRetry(refused({code: refusedByInstance, moves: empty})));
  t.false(shouldRetry(refused({code: refusedByInstance, budget: empty})));
});

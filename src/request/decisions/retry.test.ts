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

test('work that was not run is sent elsewhere', t => {
  t.true(shouldRetry(refused()));
});

test('work that may have begun is sent again only when it is idempotent', t => {
  const code = requestCodes.upstreamLost;
  t.false(shouldRetry(refused({code})));
  t.true(shouldRetry(refused({code, policy: policyOf()})));
});

test('nothing is sent again past its time, its attempts or its body', t => {
  t.false(shouldRetry(refused({left: 0})));
  t.false(shouldRetry(refused({attempts: 3})));
  t.false(shouldRetry(refused({replayable: false})));
});

test('work under which two instances broke off goes to no third one', t => {
  const attempt = {code: requestCodes.upstreamLost, policy: policyOf()};
  t.true(shouldRetry(refused({...attempt, losses: 1})));
  t.false(shouldRetry(refused({...attempt, attempts: 2, losses: 2})));
});

test('refusals that would be the same elsewhere are final', t => {
  t.false(shouldRetry(refused({code: requestCodes.bodyTooLarge})));
  t.false(shouldRetry(refused({code: requestCodes.deadlinePassed})));
});

for (const ratio of [Infinity, 0.1]) {
  test(`retries while every attempt is refused, each request earning ${ratio}`, t => {
    // All instances are full. Unless retries draw on a budget, each request is
    // tried three times and the overload is tripled.
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

test('leaving an instance that drains does not draw on the budget', t => {
  const budget = createRetryBudget({most: 0});
  const empty = {budget, moves: budget};
  t.true(shouldRetry(refused({code: requestCodes.draining, ...empty})));
  t.false(shouldRetry(refused({code: requestCodes.full, ...empty})));
});

test('a move from a crowded gate is no second attempt at an instance', t => {
  // One gate has no room in time and another has; the operators' bound on second
  // attempts counts what reaches an instance, and this reaches none.
  const empty = createRetryBudget({most: 0});
  const code = requestCodes.deadlineUnreachable;
  t.true(shouldRetry(refused({code, budget: empty})));
  t.false(shouldRetry(refused({code, moves: empty})));
  const reached = requestCodes.upstreamRefused;
  t.true(shouldRetry(refused({code: reached, moves: empty})));
  t.false(shouldRetry(refused({code: reached, budget: empty})));
});

import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {policyOf, routeOf} from '../fakes/configurations.js';
import {createTimeLimiter} from './time-limits.js';
import type {TimeNeeds} from './time-limits.js';

/** A policy of 5000 ms with an objective of 100. */
function setUp() {
  const timers = createFakeTimers(1_000);
  const limiter = createTimeLimiter(timers);
  const match = {
    route: routeOf(),
    policy: policyOf(),
    service: 'stock-desk',
  };
  const limit = (timeout?: number, needs?: TimeNeeds) =>
    limiter.limit(timeout === undefined ? {} : {timeout}, match, needs);
  return {limit};
}

test('the deadline is the shorter of the caller’s timeout and the policy’s deadline', t => {
  const {limit} = setUp();
  t.is(limit(400).deadline, 1_400);
  t.is(limit(90_000).deadline, 6_000);
  t.is(limit().deadline, 6_000);
});

test('part of the objective is reserved for the network', t => {
  const {limit} = setUp();
  t.is(limit().goodUntil, 1_090);
});

test('a retrying caller has less of the objective left', t => {
  const {limit} = setUp();
  for (let count = 0; count < 20; count++) limit(400);
  t.is(limit(400).goodUntil, 1_090);
  t.is(limit(350).goodUntil, 1_040);
});

test('a call with an inherited timeout is only held to its deadline', t => {
  // It is part of another request, whose work is wasted if the call is refused.
  const {limit} = setUp();
  for (let count = 0; count < 50; count++) limit(20 + ((count * 37) % 230));
  t.is(limit(200).goodUntil, 1_200);
});

test('a nested call with a short timeout is no retry', t => {
  const {limit} = setUp();
  for (let count = 0; count < 50; count++) limit(400);
  t.is(limit(350).goodUntil, 1_040);
  t.is(limit(350, {isNested: true}).goodUntil, 1_090);
});

test('callers whose timeouts vary slightly are held to the objective', t => {
  // The callers' timeouts vary below a common maximum. If they counted as
  // inherited timeouts, the calls would only be held to their deadline, and
  // with every slot in use each would queue behind others that are late too.
  const {limit} = setUp();
  for (let count = 0; count < 50; count++) limit(680 + ((count * 37) % 120));
  t.is(limit(700).goodUntil, 1_090);
});

// Large answers are requested rarely, so little is known about their callers.
// If they were accepted until their deadline, they would fill the link and be
// late.
test('a large answer is held to the objective for every caller', t => {
  const {limit} = setUp();
  t.is(limit(700).goodUntil, 1_700);
  t.is(limit(700, {size: 'large'}).goodUntil, 1_090);
});

// Refused requests for large answers are retried with the remaining time, and
// would be admitted like new ones.
test('a retrying caller of large answers is detected after few requests', t => {
  const {limit} = setUp();
  for (const timeout of [780, 700, 740]) limit(timeout, {size: 'large'});
  const {goodUntil} = limit(640, {size: 'large'});
  t.is(goodUntil, 1_090, 'within the variation of the callers');
  t.true(limit(550, {size: 'large'}).goodUntil < 1_000);
});

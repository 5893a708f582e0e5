import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {policyOf, routeOf} from '../fakes/configurations.js';
import type {CallSize} from './instance-pool.js';
import {createTimeLimiter} from './time-limits.js';

/** A policy of 5000 ms with an objective of 100. */
function stage() {
  const timers = createFakeTimers(1_000);
  const limiter = createTimeLimiter(timers);
  const match = {
    route: routeOf(),
    policy: policyOf(),
    service: 'stock-desk',
  };
  const limit = (timeout?: number, size?: CallSize) =>
    limiter.limit(timeout === undefined ? {} : {timeout}, match, size);
  return {limit};
}

test('the shorter of the caller’s time and the policy’s is the deadline', t => {
  const {limit} = stage();
  t.is(limit(400).deadline, 1_400);
  t.is(limit(90_000).deadline, 6_000);
  t.is(limit().deadline, 6_000);
});

test('a good answer leaves some of the objective for its way back', t => {
  const {limit} = stage();
  t.is(limit().goodUntil, 1_090);
});

test('a caller that comes back has less of the objective left', t => {
  const {limit} = stage();
  for (let count = 0; count < 20; count++) limit(400);
  t.is(limit(400).goodUntil, 1_090);
  t.is(limit(350).goodUntil, 1_040);
});

test('a call with inherited time is good until its deadline', t => {
  // It is made for another request, whose work is lost when it is refused.
  const {limit} = stage();
  for (let count = 0; count < 50; count++) limit(20 + ((count * 37) % 230));
  t.is(limit(200).goodUntil, 1_200);
});

test('callers that vary their time a little have the objective all the same', t => {
  // Each caller waits a little less long than the route allows. Taken for calls
  // with inherited time, they would all be good until their deadline; with every
  // slot in use each would wait behind others that are late like itself.
  const {limit} = stage();
  for (let count = 0; count < 50; count++) limit(680 + ((count * 37) % 120));
  t.is(limit(700).goodUntil, 1_090);
});

// Archives are asked for seldom, so little is known of their callers: accepted
// until their deadline, they fill the link and are late one after the other.
test('a large answer is good for the objective, whoever asks for it', t => {
  const {limit} = stage();
  t.is(limit(700).goodUntil, 1_700);
  t.is(limit(700, 'large').goodUntil, 1_090);
});

// Refused archives come back with less of their time, and would be let in as new.
test('one of the first callers of large answers that comes back is known', t => {
  const {limit} = stage();
  for (const timeout of [780, 700, 740]) limit(timeout, 'large');
  const {goodUntil} = limit(640, 'large');
  t.is(goodUntil, 1_090, 'within what callers vary');
  t.true(limit(550, 'large').goodUntil < 1_000);
});

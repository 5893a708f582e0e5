import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {policyOf, routeOf} from './fakes/configurations.js';
import {createTimeLimits} from './time-limits.js';

/** A policy of 5000 ms with an objective of 100. */
function stage() {
  const timers = createFakeTimers(1_000);
  const limitTime = createTimeLimits(timers);
  const match = {
    route: routeOf(),
    policy: policyOf(),
    service: 'stock-desk',
  };
  const limit = (timeout?: number) =>
    limitTime(timeout === undefined ? {} : {timeout}, match);
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
  for (let count = 0; count < 50; count++) limit(200 + ((count * 7) % 50));
  t.is(limit(300).goodUntil, 1_300);
});

import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {callOf} from '../fakes/calls.js';
import {requestCodes} from '../messages/codes.js';
import {createStopLimit} from './stop-limit.js';

function setUp() {
  const timers = createFakeTimers();
  const limit = createStopLimit(timers);
  const isRefused = (deadline: number, policy: string | undefined = 'scans') =>
    limit.refusalFor(callOf({deadline, policy}), requestCodes.stopping);
  return {timers, limit, isRefused};
}

test('before a stop no call is refused', t => {
  const {isRefused} = setUp();
  t.is(isRefused(1_000_000), undefined);
});

test('a call whose deadline is before the end of the stop may start', t => {
  const {limit, isRefused} = setUp();
  limit.begin(5_000);
  t.is(isRefused(4_900), undefined);
  t.is(isRefused(4_901)?.code, requestCodes.stopping);
  limit.begin(4_000);
  limit.begin(6_000);
  t.is(isRefused(3_900), undefined);
  t.is(isRefused(4_900)?.code, requestCodes.stopping);
});

test('a call with a later deadline may start if its kind ends early enough', t => {
  const {timers, limit, isRefused} = setUp();
  limit.begin(5_000);
  limit.record('scans', 2_000);
  t.is(isRefused(60_000), undefined);
  t.not(isRefused(60_000, 'others'), undefined);
  t.not(isRefused(60_000, ''), undefined);
  timers.advance(2_400);
  t.is(isRefused(60_000), undefined);
  timers.advance(1);
  t.not(isRefused(60_000), undefined);
});

test('rare slow calls of a kind count, and are forgotten after many others', t => {
  const {limit, isRefused} = setUp();
  limit.begin(3_000);
  limit.record('scans', 2_900);
  for (let count = 0; count < 50; count++) limit.record('scans', 100);
  t.not(isRefused(60_000), undefined);
  for (let count = 0; count < 200; count++) limit.record('scans', 100);
  t.is(isRefused(60_000), undefined);
});

test('the number of kinds with durations is bounded', t => {
  const {limit, isRefused} = setUp();
  limit.begin(5_000);
  for (let kind = 0; kind < 300; kind++) limit.record(`kind-${kind}`, 10);
  t.is(isRefused(60_000, 'kind-0'), undefined);
  t.not(isRefused(60_000, 'kind-299'), undefined);
});

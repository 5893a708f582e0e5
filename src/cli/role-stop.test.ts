import test from 'ava';
import type {RunningRole} from '../process/role.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import {createRoleStop} from './role-stop.js';

function setUp() {
  const timers = createFakeTimers();
  const deadlines: number[] = [];
  let start: (role: RunningRole) => void = () => {};
  let fail: (error: Error) => void = () => {};
  const started = new Promise<RunningRole>((resolve, reject) => {
    start = resolve;
    fail = reject;
  });
  const role: RunningRole = {
    stop: async deadline => void deadlines.push(deadline),
  };
  const stop = createRoleStop({started, deadline: 5_000, timers});
  return {timers, deadlines, start: () => start(role), fail, stop};
}

test('a role that has started is stopped within the deadline', async t => {
  const {deadlines, start, stop} = setUp();
  start();
  await stop();
  t.deepEqual(deadlines, [5_000]);
});

test('a signal while a role starts stops it once it has started', async t => {
  // The process ended at once and cut off the requests that it had just taken.
  const {timers, deadlines, start, stop} = setUp();
  const stopped = stop();
  timers.advance(300);
  await settle();
  t.deepEqual(deadlines, []);
  start();
  await stopped;
  t.deepEqual(deadlines, [4_700]);
});

test('a role that does not start does not delay its stop', async t => {
  const {timers, deadlines, stop} = setUp();
  const stopped = stop();
  timers.advance(1_000);
  await stopped;
  t.deepEqual(deadlines, []);
});

test('a start that fails during a stop fails the stop', async t => {
  const {fail, stop} = setUp();
  const stopped = stop();
  fail(new Error('port in use'));
  await t.throwsAsync(stopped, {message: 'port in use'});
});

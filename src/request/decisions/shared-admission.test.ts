import test from 'ava';
import {recordTickets} from '../fakes/recorded-tickets.js';
import type {Rank} from '../messages/rank.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createAdmission} from './admission.js';

/** An admission with one running call and durations of 100 ms. */
function setUp(queueLength = 20) {
  const clock = createFakeTimers();
  const admission = createAdmission({slots: 1, queueLength, clock});
  const {events, offer} = recordTickets(admission);
  offer('first', {workspace: 'other'});
  admission.done(100);
  offer('running', {workspace: 'other'});
  events.length = 0;
  const offerOf = (
    workspace: string | undefined,
    name: string,
    goodUntil = 1e6,
    rank: Rank = 'normal',
  ) => offer(name, {workspace, goodUntil, rank});
  return {admission, events, offer: offerOf};
}

test('a call isn’t refused for the queue of another workspace', t => {
  const {admission, events, offer} = setUp();
  for (let count = 0; count < 8; count++) offer('flooding', `flood ${count}`);
  offer('small', 'lookup', 350);
  t.deepEqual(events, []);
  admission.done(100);
  admission.done(100);
  t.deepEqual(events, ['flood 0 starts', 'lookup starts']);
});

test('a call beyond its workspace’s share is refused at once', t => {
  const {events, offer} = setUp();
  for (let count = 0; count < 4; count++) offer('flooding', `flood ${count}`);
  offer('flooding', 'late', 350);
  t.deepEqual(events, ['late deadline-unreachable']);
});

test('a waiting call is refused once calls of others are before it', t => {
  const {events, offer} = setUp();
  offer('flooding', 'flood 0');
  offer('flooding', 'flood 1', 350);
  t.deepEqual(events, []);
  offer('small', 'lookup');
  t.deepEqual(events, ['flood 1 deadline-unreachable']);
});

test('a full queue drops the last call of the most waiting work', t => {
  const {events, offer} = setUp(4);
  offer('small', 'small 0');
  for (let count = 0; count < 3; count++) offer('flooding', `flood ${count}`);
  offer('quiet', 'quiet 0');
  t.deepEqual(events, ['flood 2 full']);
  offer('flooding', 'flood 3');
  t.is(events.at(-1), 'flood 3 full');
});

test('a full queue drops no call of a workspace with less waiting work', t => {
  const {events, offer} = setUp(2);
  offer('small', 'small 0');
  offer('quiet', 'quiet 0');
  offer('flooding', 'flood 0');
  offer('quiet', 'quiet 1');
  t.deepEqual(events, ['flood 0 full', 'quiet 1 full']);
});

test('a full queue drops calls of a lower priority first', t => {
  const {events, offer} = setUp(3);
  offer('flooding', 'flood 0');
  offer('flooding', 'flood 1');
  offer('small', 'pull', 1e6, 'background');
  offer('quiet', 'quiet 0');
  t.deepEqual(events, ['pull full']);
});

test('calls without a workspace count as one workspace', t => {
  const {admission, events, offer} = setUp();
  for (let count = 0; count < 3; count++) offer(undefined, `none ${count}`);
  offer('small', 'small 0');
  for (let count = 0; count < 4; count++) admission.done(100);
  t.deepEqual(events.slice(0, 2), ['none 0 starts', 'small 0 starts']);
});

test('nested calls go before new ones of their priority', t => {
  const {admission, events, offer} = setUp();
  for (let count = 0; count < 3; count++) {
    offer(`workspace ${count}`, `new ${count}`);
  }
  offer('small', 'check', 1e6, 'critical');
  offer(undefined, 'nested', 350, 'nested-normal');
  for (let count = 0; count < 3; count++) admission.done(100);
  t.deepEqual(events, ['check starts', 'nested starts', 'new 0 starts']);
});

test('new calls keep their floor beside nested ones', t => {
  const {admission, events, offer} = setUp();
  offer('small', 'lookup');
  for (let count = 0; count < 12; count++) {
    offer(undefined, `nested ${count}`, 1e6, 'nested-normal');
    admission.done(100);
  }
  t.true(events.includes('lookup starts'));
  t.true(events.indexOf('lookup starts') > 5);
});

test('a nested call takes the place of a new one in a full queue', t => {
  const {events, offer} = setUp(2);
  offer('small', 'lookup 0');
  offer('small', 'lookup 1');
  offer(undefined, 'nested', 1e6, 'nested-normal');
  t.deepEqual(events, ['lookup 1 full']);
  offer('small', 'lookup 2');
  t.is(events.at(-1), 'lookup 2 full');
});

test('the number of waiting calls of a workspace is known', t => {
  const {admission, offer} = setUp();
  offer('flooding', 'a');
  offer('flooding', 'b', 1e6, 'background');
  offer('small', 'c');
  t.is(admission.waitingOf('flooding'), 2);
  t.is(admission.waitingOf('unknown'), 0);
});

test('an estimate doesn’t depend on the workspaces of waiting calls', t => {
  const withWorkspaces = setUp();
  const without = setUp();
  for (let count = 0; count < 6; count++) {
    withWorkspaces.offer(`workspace ${count % 2}`, 'call');
    without.offer(undefined, 'call');
  }
  t.deepEqual(
    withWorkspaces.admission.estimate(undefined, 'normal'),
    without.admission.estimate(undefined, 'normal'),
  );
});

test('without known durations, workspaces take equal turns', t => {
  // A gate that has just started knows no duration.
  const clock = createFakeTimers();
  const admission = createAdmission({slots: 1, queueLength: 20, clock});
  const {events, offer} = recordTickets(admission);
  for (const name of ['a0', 'a1', 'a2']) offer(name, {workspace: 'a'});
  for (const name of ['b0', 'b1']) offer(name, {workspace: 'b'});
  for (let count = 0; count < 4; count++) admission.done(undefined);
  const order = events.map(event => event.split(' ')[0]);
  t.deepEqual(order, ['a0', 'b0', 'a1', 'b1', 'a2']);
});

test('a workspace of twice the weight gets twice the work', t => {
  const clock = createFakeTimers();
  const admission = createAdmission({slots: 1, queueLength: 100, clock});
  const {events, offer} = recordTickets(admission);
  for (let count = 0; count < 40; count++) {
    offer('large', {workspace: 'a', weight: 2});
    offer('usual', {workspace: 'b'});
  }
  for (let count = 0; count < 29; count++) admission.done(10);
  const large = events.filter(event => event === 'large starts').length;
  t.true(large >= 19 && large <= 21, `${large} of 30`);
});

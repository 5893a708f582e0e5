import test from 'ava';
import type {Priority} from '../../configuration/configuration.js';
import {recordTickets} from '../fakes/recorded-tickets.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createAdmission} from './admission.js';
import {createRateLimiter} from './rate-limiter.js';

/** An admission with many slots whose upstream takes `rate` calls per second. */
function setUp(rate: number) {
  const timers = createFakeTimers(1_000);
  const limiter = createRateLimiter(timers);
  const admission = createAdmission({
    slots: 20,
    queueLength: 20,
    clock: timers,
    limiter,
  });
  limiter.setRate(rate);
  const {events, offer} = recordTickets(admission);
  const offerFor = (
    name: string,
    wait: number,
    priority: Priority = 'normal',
  ) => offer(name, {rank: priority, tokenUntil: timers.now() + wait});
  return {timers, limiter, admission, events, offer: offerFor};
}

test('calls above the limit wait for a token and start in order', t => {
  const {timers, events, offer} = setUp(10);
  for (const name of ['a', 'b', 'c']) offer(name, 1_000);
  t.deepEqual(events, ['a starts']);
  timers.advance(101);
  t.deepEqual(events, ['a starts', 'b starts']);
  timers.advance(101);
  t.deepEqual(events, ['a starts', 'b starts', 'c starts']);
});

test('a call whose token comes too late is refused at once', t => {
  // It would be held while another instance may have room.
  const {events, offer} = setUp(10);
  for (const name of ['a', 'b', 'c']) offer(name, 150);
  t.deepEqual(events, ['a starts', 'c full']);
});

test('a refusal names the time until a token', t => {
  const {admission, timers} = setUp(2);
  const delays: number[] = [];
  const offer = () =>
    admission.offer({
      rank: 'normal',
      deadline: timers.now() + 5_000,
      tokenUntil: timers.now() + 10,
      start: () => {},
      refuse: ({retryAfter}) => void delays.push(retryAfter),
    });
  offer();
  offer();
  t.deepEqual(delays, [0.5]);
});

test('critical calls get the next token, and push out calls that wait', t => {
  const {timers, events, offer} = setUp(10);
  offer('first', 1_000);
  offer('pull', 150, 'background');
  offer('gate check', 150, 'critical');
  t.deepEqual(events, ['first starts', 'pull full']);
  timers.advance(101);
  t.is(events.at(-1), 'gate check starts');
});

test('no priority is starved while critical calls exceed the limit', t => {
  const {timers, admission, events, offer} = setUp(20);
  for (let time = 0; time < 20_000; time += 25) {
    offer('critical', 200, 'critical');
    offer('background', 200, 'background');
    timers.advance(25);
    while (admission.running > 0) admission.done(10);
  }
  const started = events.filter(event => event.endsWith('starts'));
  const background = started.filter(event => event.startsWith('background'));
  t.true(started.length >= 395, `${started.length} calls started`);
  const share = background.length / started.length;
  t.true(share > 0.07 && share < 0.15, `background got ${share}`);
});

test('a lifted limit starts the calls that wait', t => {
  const {limiter, events, offer} = setUp(1);
  for (const name of ['a', 'b', 'c']) offer(name, 5_000);
  limiter.setRate(undefined);
  t.deepEqual(events, ['a starts', 'b starts', 'c starts']);
});

test('an instance at its limit reports a full load though its slots are idle', t => {
  // Entries choose the less loaded of two, and would send it more.
  const {admission, offer} = setUp(10);
  t.true(admission.load < 1);
  offer('a', 1_000);
  offer('b', 1_000);
  t.true(admission.load >= 1, `${admission.load}`);
});

test('a call that is not sent leaves its token to the next one', t => {
  const {admission, events, offer} = setUp(1);
  offer('a', 0);
  admission.done(undefined, undefined, false);
  offer('b', 0);
  t.deepEqual(events, ['a starts', 'b starts']);
});

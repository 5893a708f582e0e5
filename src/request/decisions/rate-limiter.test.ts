import test from 'ava';
import {createRandom} from '../../random/random.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createRateLimiter} from './rate-limiter.js';

function setUp(rate?: number) {
  const timers = createFakeTimers(1_000);
  const limiter = createRateLimiter(timers);
  limiter.setRate(rate);
  return {timers, limiter};
}

/** Takes tokens as soon as they are available, for `duration` milliseconds. */
function takeAll({timers, limiter}: ReturnType<typeof setUp>, duration = 0) {
  let taken = 0;
  for (let time = 0; time <= duration; time++) {
    for (; limiter.wait(0) === 0; taken++) limiter.take();
    if (time < duration) timers.advance(1);
  }
  return taken;
}

test('without a limit no call waits', t => {
  const {limiter} = setUp();
  for (let count = 0; count < 100; count++) limiter.take();
  t.is(limiter.wait(50), 0);
  t.is(limiter.load(50), 0);
});

test('calls get tokens at the rate of the limit', t => {
  const limited = setUp(20);
  t.is(takeAll(limited), 1);
  t.is(takeAll(limited, 2_000), 40);
});

test('after a pause only a short burst is allowed', t => {
  // A process that was frozen must not send all that its limit allowed
  // meanwhile.
  const limited = setUp(20);
  limited.timers.advance(60_000);
  t.is(takeAll(limited), 5);
});

test('a wait names the time of the token', t => {
  const limited = setUp(10);
  takeAll(limited);
  t.is(Math.round(limited.limiter.wait(0)), 100);
  t.is(Math.round(limited.limiter.wait(4)), 500);
});

test('a lowered limit applies to the tokens that were left', t => {
  const limited = setUp(100);
  limited.timers.advance(1_000);
  limited.limiter.setRate(4);
  t.is(takeAll(limited), 1);
});

test('a raised or lifted limit is reported to waiting calls at once', t => {
  const {limiter} = setUp(1);
  let calls = 0;
  limiter.onToken(() => calls++);
  limiter.take();
  limiter.requestToken();
  limiter.setRate(50);
  limiter.setRate(undefined);
  t.is(calls, 2);
  t.is(limiter.wait(100), 0);
});

test('a limit of 0 leaves a call every two seconds, which can end it', t => {
  // An upstream that gets no call cannot answer that its limit has ended.
  const limited = setUp(0);
  takeAll(limited);
  t.is(takeAll(limited, 20_000), 10);
});

test('the token of a call that was not sent is given back', t => {
  const {limiter} = setUp(1);
  limiter.take();
  limiter.giveBack();
  t.is(limiter.wait(0), 0);
});

test('the load rises from idle to a queue', t => {
  const limited = setUp(20);
  const {limiter} = limited;
  limited.timers.advance(1_000);
  t.is(limiter.load(0), 0);
  takeAll(limited);
  t.is(limiter.load(0), 1);
  t.is(limiter.load(5), 2);
});

test('the share falls until about as many calls are offered as the limit takes', t => {
  const limited = setUp(20);
  const {timers, limiter} = limited;
  const random = createRandom(1);
  let offered = 0;
  for (let time = 0; time < 30_000; time += 10) {
    timers.advance(10);
    // 100 calls per second without a limit.
    if (random.fraction() >= limiter.share) continue;
    limiter.offered();
    if (time >= 10_000) offered++;
  }
  const rate = offered / 20;
  t.true(rate > 17 && rate < 26, `${rate} calls per second`);
  limiter.setRate(undefined);
  t.is(limiter.share, 1);
  limiter.setRate(50);
  t.is(limiter.share, 1);
});

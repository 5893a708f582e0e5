import test from 'ava';
import {createFreezableTimers} from '../consensus/fakes/freezable.js';
import {createFakeTimers} from './fakes/fake-timers.js';
import {watchLoopDelay} from './loop-delay.js';

function setUp() {
  const fake = createFakeTimers();
  const timers = createFreezableTimers(fake);
  const samples: number[] = [];
  const delay = watchLoopDelay({timers, onSample: late => samples.push(late)});
  const block = (duration: number) => {
    timers.freeze();
    fake.advance(duration);
    timers.thaw();
  };
  return {fake, delay, samples, block};
}

test('a loop that keeps up has no delay', t => {
  const {fake, delay, samples} = setUp();
  fake.advance(1000);
  t.is(delay.current(), 0);
  t.true(samples.length >= 10);
  t.true(samples.every(late => late === 0));
});

test('a delay of a blocked loop is visible at once and decays over some samples', t => {
  const {fake, delay, samples, block} = setUp();
  fake.advance(1000);
  block(120);
  t.true(delay.current() >= 100);
  fake.advance(40);
  t.true(Math.max(...samples) >= 100);
  t.true(delay.current() > 50);
  fake.advance(1000);
  t.true(delay.current() < 1);
});

test('the mean follows lasting delays', t => {
  const {fake, delay, block} = setUp();
  for (let count = 0; count < 100; count++) block(60);
  t.true(delay.mean() > 10);
  fake.advance(5000);
  t.true(delay.mean() < 1);
});

test('no samples are taken after a cancel', t => {
  const {fake, delay, samples} = setUp();
  delay.cancel();
  fake.advance(1000);
  t.deepEqual(samples, []);
});

// Guards against fifty wake-ups a second of a node that nobody calls.
test('while nothing reads the delay, samples are less frequent', t => {
  const {fake, delay, samples} = setUp();
  fake.advance(6000);
  const before = samples.length;
  fake.advance(10_000);
  t.is(samples.length - before, 100);
  delay.current();
  fake.advance(1000);
  t.is(samples.length - before, 150);
});

test('a delay is visible at once to a node that was idle', t => {
  const {fake, delay, block} = setUp();
  fake.advance(10_000);
  block(300);
  t.true(delay.current() >= 200);
  fake.advance(20);
  block(120);
  t.true(delay.current() >= 100);
});

test('the first read of an idle node reports no delay', t => {
  const {fake, delay} = setUp();
  fake.advance(10_090);
  t.is(delay.current(), 0);
  t.is(delay.mean(), 0);
});

import test from 'ava';
import {createFreezableTimers} from '../consensus/fakes/freezable.js';
import {createFakeTimers} from './fakes/fake-timers.js';
import {watchLoopDelay} from './loop-delay.js';

function stage() {
  const fake = createFakeTimers();
  const timers = createFreezableTimers(fake);
  const looks: number[] = [];
  const delay = watchLoopDelay({timers, onSample: late => looks.push(late)});
  const hold = (duration: number) => {
    timers.freeze();
    fake.advance(duration);
    timers.thaw();
  };
  return {fake, delay, looks, hold};
}

test('a loop that keeps up has no delay', t => {
  const {fake, delay, looks} = stage();
  fake.advance(1000);
  t.is(delay.current(), 0);
  t.true(looks.length >= 10);
  t.true(looks.every(late => late === 0));
});

test('a loop that is held up shows it at once, and for some looks after', t => {
  const {fake, delay, looks, hold} = stage();
  fake.advance(1000);
  hold(120);
  t.true(delay.current() >= 100);
  fake.advance(40);
  t.true(Math.max(...looks) >= 100);
  t.true(delay.current() > 50);
  fake.advance(1000);
  t.true(delay.current() < 1);
});

test('the mean follows delays that last', t => {
  const {fake, delay, hold} = stage();
  for (let count = 0; count < 100; count++) hold(60);
  t.true(delay.mean() > 10);
  fake.advance(5000);
  t.true(delay.mean() < 1);
});

test('nothing is looked at after the end', t => {
  const {fake, delay, looks} = stage();
  delay.cancel();
  fake.advance(1000);
  t.deepEqual(looks, []);
});

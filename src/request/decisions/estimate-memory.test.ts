import test from 'ava';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createEstimateMemory} from './estimate-memory.js';

function setUp() {
  const timers = createFakeTimers(1_000);
  const options = {waitAge: 10_000, estimateAge: 10_000};
  const memory = createEstimateMemory(timers, options);
  const finish = (outstanding = 0) => {
    const found = memory.get('lookups', 'normal', outstanding);
    return found && Math.round(found.wait + found.work);
  };
  return {timers, memory, finish};
}

const estimate = {wait: 100, work: 150, step: 20};

test('the wait of an estimate decays, and the estimate ends', t => {
  const {timers, memory, finish} = setUp();
  t.is(finish(), undefined);
  memory.set('lookups', 'normal', estimate, 0);
  t.is(finish(), 250);
  timers.advance(5_000);
  t.is(finish(), 211);
  timers.advance(5_001);
  t.is(finish(), undefined);
});

// Without them, all calls until the next answer would go to one instance.
test('own calls since the estimate delay the next one once no slot is free', t => {
  const {memory, finish} = setUp();
  memory.set('lookups', 'normal', {...estimate, wait: 0}, 2);
  memory.began();
  memory.began();
  t.is(finish(2), 150);
  memory.began();
  t.is(finish(3), 170);
  // Calls that have ended need no slot any more.
  t.is(finish(1), 150);
});

test('calls of another kind or priority have estimates of their own', t => {
  const {memory, finish} = setUp();
  memory.set('lookups', 'background', estimate, 0);
  memory.set('bookings', 'normal', estimate, 0);
  t.is(finish(), undefined);
  memory.set('lookups', 'normal', estimate, 0);
  t.is(finish(), 250);
  memory.clear();
  t.is(finish(), undefined);
});

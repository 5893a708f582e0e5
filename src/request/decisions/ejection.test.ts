import test from 'ava';
import {createSilentLog} from '../../log/log.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createEjection} from './ejection.js';
import type {Ejection} from './ejection.js';

const log = createSilentLog();

const service = ['a', 'b', 'c', 'd'];

function fail(ejection: Ejection, instance: string, times = 5): void {
  for (let count = 0; count < times; count++) ejection.failed(instance);
}

test('failures in a row leave an instance out, successes between do not', t => {
  const ejection = createEjection({log, clock: createFakeTimers()});
  fail(ejection, 'a', 4);
  ejection.succeeded('a');
  fail(ejection, 'a', 4);
  t.true(ejection.allowed(service).has('a'));
  ejection.failed('a');
  t.false(ejection.allowed(service).has('a'));
});

for (const ceiling of [1, 0.5]) {
  test(`a fault that all instances share, ceiling ${ceiling}`, t => {
    // Every instance fails, say by a bad disk behind all of them. Without a
    // ceiling the service is left empty and stays so when the fault has gone.
    const ejection = createEjection({log, clock: createFakeTimers(), maxShare: ceiling});
    for (const instance of service) fail(ejection, instance);
    t.is(ejection.allowed(service).size, ceiling === 1 ? 0 : 2);
    t.is(ejection.allowed(['a']).size, ceiling === 1 ? 0 : 1);
  });
}

test('an instance comes back, and one more failure leaves it out for longer', t => {
  const clock = createFakeTimers();
  const ejection = createEjection({log, clock, duration: 1000});
  fail(ejection, 'a');
  clock.advance(1000);
  t.true(ejection.allowed(service).has('a'));
  ejection.failed('a');
  clock.advance(1999);
  t.false(ejection.allowed(service).has('a'));
  clock.advance(1);
  t.true(ejection.allowed(service).has('a'));
});

test('answers to work sent before do not bring an instance back early', t => {
  const ejection = createEjection({log, clock: createFakeTimers()});
  fail(ejection, 'a');
  ejection.succeeded('a');
  t.false(ejection.allowed(service).has('a'));
});

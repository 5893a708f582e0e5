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

test('an instance is ejected after consecutive failures only', t => {
  const ejection = createEjection({log, clock: createFakeTimers()});
  fail(ejection, 'a', 4);
  ejection.succeeded('a');
  fail(ejection, 'a', 4);
  t.true(ejection.allowed(service).has('a'));
  ejection.failed('a');
  t.false(ejection.allowed(service).has('a'));
});

for (const maxShare of [1, 0.5]) {
  test(`a fault of all instances, maximum share of ejections ${maxShare}`, t => {
    // Every instance fails, for example because of a shared disk. Without a
    // maximum the service has no instances left, even after the fault has been
    // fixed.
    const ejection = createEjection({log, clock: createFakeTimers(), maxShare});
    for (const instance of service) fail(ejection, instance);
    t.is(ejection.allowed(service).size, maxShare === 1 ? 0 : 2);
    t.is(ejection.allowed(['a']).size, maxShare === 1 ? 0 : 1);
  });
}

test('one failure after an ejection causes a longer ejection', t => {
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

test('answers to earlier calls do not end an ejection', t => {
  const ejection = createEjection({log, clock: createFakeTimers()});
  fail(ejection, 'a');
  ejection.succeeded('a');
  t.false(ejection.allowed(service).has('a'));
});

import test from 'ava';
import {createRandom} from '../random/random.js';
import {createPowerOfTwoBalancer, preferLocal} from './balancer.js';
import type {Candidate} from './balancer.js';
import {slowStartWeight} from './slow-start.js';

function candidate(instance: string, changes: Partial<Candidate> = {}) {
  return {
    instance,
    slots: 10,
    outstanding: 0,
    load: 0,
    weight: 1,
    local: false,
    ...changes,
  };
}

function share(candidates: readonly Candidate[], instance: string): number {
  const balancer = createPowerOfTwoBalancer(createRandom(7));
  let chosen = 0;
  for (let count = 0; count < 1000; count++) {
    if (balancer.choose(candidates).instance === instance) chosen++;
  }
  return chosen / 1000;
}

test('of two instances the one with less own work is chosen', t => {
  t.is(share([candidate('a', {outstanding: 5}), candidate('b')], 'a'), 0);
});

test('what a gate tells of its load counts as work', t => {
  t.is(share([candidate('a', {load: 0.9}), candidate('b')], 'a'), 0);
});

for (const slowStart of [0, 30_000]) {
  test(`share of an instance one second old, slow start ${slowStart} ms`, t => {
    // One of nine instances has just started, with cold caches. Without slow
    // start it gets its full ninth at once, and those callers wait.
    const weight = slowStartWeight(1_000, slowStart);
    const others = Array.from({length: 8}, (_none, index) =>
      candidate(`old ${index}`),
    );
    const got = share([candidate('new', {weight}), ...others], 'new');
    if (slowStart === 0) t.true(got > 0.08, String(got));
    else t.true(got > 0 && got < 0.03, String(got));
  });
}

test('the weight of a new instance grows to its full share', t => {
  t.is(slowStartWeight(0, 10_000), 0.1);
  t.is(slowStartWeight(5_000, 10_000), 0.5);
  t.is(slowStartWeight(10_000, 10_000), 1);
});

test('the own failure domain goes first until it is busy', t => {
  const far = candidate('far');
  const near = candidate('near', {local: true});
  const busy = candidate('busy', {local: true, load: 0.8});
  t.deepEqual(preferLocal([far, near, busy], 0.7), [near]);
  t.deepEqual(preferLocal([far, busy], 0.7), [far, busy]);
});

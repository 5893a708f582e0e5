import test from 'ava';
import type {Candidate} from './balancer.js';
import {finishByLoad, placeNear} from './placement.js';
import type {PlacementDemand} from './placement.js';

function candidate(instance: string, changes: Partial<Candidate>): Candidate {
  return {
    instance,
    slots: 8,
    outstanding: 0,
    load: 0,
    weight: 1,
    local: false,
    ...changes,
  };
}

function place(
  candidates: readonly Candidate[],
  changes: Partial<PlacementDemand> = {},
): string[] {
  const demand = {goodFor: 500, tried: new Set<string>(), isMove: false};
  const placed = placeNear(candidates, {...demand, limit: 0.7, ...changes});
  return placed.map(({instance}) => instance);
}

test('a call waits in its failure domain as long as the wait fits the objective', t => {
  const near = candidate('near', {local: true, load: 3, finish: 300});
  const far = candidate('far', {finish: 150});
  t.deepEqual(place([near, far]), ['near']);
  t.deepEqual(place([near, far], {goodFor: 400}), ['far']);
});

// Both estimates are probably too low; a crossing buys no answer in time.
test('a call does not cross to an instance that is expected just in time', t => {
  const near = candidate('near', {local: true, finish: 450});
  const far = candidate('far', {finish: 400});
  t.deepEqual(place([near, far]), ['near']);
  const full = candidate('near', {local: true, finish: 600});
  t.deepEqual(place([full, far]), ['near']);
  t.deepEqual(place([full, far], {isMove: true}), ['far']);
});

test('a call does not cross if no instance there is expected to be in time', t => {
  const near = candidate('near', {local: true, finish: 900});
  const far = candidate('far', {finish: 600});
  t.deepEqual(place([near, far]), ['near']);
  t.deepEqual(place([far]), ['far']);
});

// A crossing to an instance that will refuse costs bytes and buys nothing.
test('a move crosses only to an instance that is expected to be in time', t => {
  const near = candidate('near', {local: true, finish: 900});
  const far = candidate('far', {finish: 600});
  const tried = new Set(['near']);
  t.deepEqual(place([far], {tried, isMove: true}), []);
  t.deepEqual(place([near, far], {tried, isMove: true}), []);
  t.deepEqual(place([far], {tried, isMove: true, goodFor: 700}), ['far']);
  // After a lost connection, a late answer is better than none.
  t.deepEqual(place([far], {tried, isMove: false}), ['far']);
});

test('without any duration the utilization decides', t => {
  const near = candidate('near', {local: true, load: 0.9});
  const far = candidate('far', {});
  t.deepEqual(place([near, far]), ['far']);
  t.deepEqual(place([{...near, load: 0.4}, far]), ['near']);
});

// The load says nothing of the speed, and a slow instance takes twice as long.
test('calls beyond the slots wait for those before them, each at twice the usual duration', t => {
  const times = {mean: () => 100, upperQuartile: () => 150};
  const finish = (load: number, outstanding = 0) =>
    finishByLoad(candidate('a', {load, outstanding}), times, times);
  t.is(finish(0), 150);
  t.is(finish(0.875), 150);
  t.is(finish(1), 325);
  t.is(finish(2, 7), 700);
  const none = {mean: () => 0, upperQuartile: () => 0};
  t.is(finishByLoad(candidate('a', {}), none, none), undefined);
});

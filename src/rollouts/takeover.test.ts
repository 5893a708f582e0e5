import test from 'ava';
import type {NodeState} from './evidence.js';
import {isTakenOver} from './takeover.js';
import type {TakeoverInput} from './takeover.js';

function stateOf(parts: Partial<NodeState> = {}): NodeState {
  return {
    node: 'node-1',
    sequence: 1,
    version: 7,
    isConfirmed: true,
    stableRunning: 0,
    at: 1_000,
    ...parts,
  };
}

function inputOf(parts: Partial<TakeoverInput> = {}): TakeoverInput {
  return {
    version: 7,
    age: 500,
    now: 1_100,
    nodes: [stateOf(), stateOf({node: 'node-2'})],
    fleet: {isSettled: true, nodes: 2, inForce: 2, behind: 0, unknown: 0},
    ...parts,
  };
}

test('it has when every node has reported so', t => {
  t.true(isTakenOver(inputOf()));
});

// Guards against old instances that stop while they still run requests.
test('it has not while a node has a request at a stable version', t => {
  const nodes = [stateOf(), stateOf({node: 'node-2', stableRunning: 1})];
  t.false(isTakenOver(inputOf({nodes})));
  t.false(isTakenOver(inputOf({nodes, age: 9_000})));
});

test('it has not while a node has an older version in force', t => {
  const nodes = [stateOf(), stateOf({node: 'node-2', version: 6})];
  t.false(isTakenOver(inputOf({nodes})));
});

test('it has not while a node in force has not reported', t => {
  t.false(isTakenOver(inputOf({nodes: [stateOf()]})));
  t.false(isTakenOver(inputOf({nodes: [stateOf()], age: 9_000})));
});

test('it has not while a node has no confirmation', t => {
  const nodes = [stateOf(), stateOf({node: 'node-2', isConfirmed: false})];
  t.false(isTakenOver(inputOf({nodes})));
});

test('a node out of touch is waited for, and then left out', t => {
  const nodes = [stateOf(), stateOf({node: 'node-2', at: -5_000})];
  const fleet = {isSettled: true, nodes: 2, inForce: 1, behind: 0, unknown: 1};
  t.false(isTakenOver(inputOf({nodes, fleet})));
  t.true(isTakenOver(inputOf({nodes, fleet, age: 2_500})));
});

test('it has not before any node has reported', t => {
  const fleet = {isSettled: true, nodes: 0, inForce: 0, behind: 0, unknown: 0};
  t.false(isTakenOver(inputOf({nodes: [], fleet, age: 9_000})));
});

test('the last report of a node that started again is the one that counts', t => {
  const nodes = [
    stateOf({stableRunning: 3, at: 900}),
    stateOf({sequence: 1, at: 1_050}),
    stateOf({node: 'node-2'}),
  ];
  t.true(isTakenOver(inputOf({nodes})));
});

import test from 'ava';
import {emptyConfiguration} from '../../configuration/configuration.js';
import type {Configuration} from '../../configuration/configuration.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createWorkspaceWeights, weightExponent} from './workspace-weights.js';

function configurationOf(rates: Record<string, number>): Configuration {
  const workspaces = Object.entries(rates).map(([name, rate]) => ({
    name,
    keys: [],
    quota: {rate, burst: 0},
  }));
  const unlimited = {name: 'unlimited', keys: []};
  return {
    ...emptyConfiguration,
    workspaces: new Map(
      [...workspaces, unlimited].map(workspace => [workspace.name, workspace]),
    ),
  };
}

test('weights grow with the quotas, but less than in proportion', t => {
  const configuration = configurationOf({large: 50, small: 1, middle: 9});
  const weightOf = createWorkspaceWeights(
    () => configuration,
    createFakeTimers(),
  );
  t.is(weightOf('large'), 2.5 ** weightExponent);
  t.is(weightOf('small'), 0.05 ** weightExponent);
  for (const name of ['unlimited', 'unknown']) t.is(weightOf(name), 1);
});

// Guards against nested calls that are refused behind new work: the requests
// that wait for them hold slots at other upstreams and fail with them.
test('calls without a workspace weigh as much as all workspaces', t => {
  const timers = createFakeTimers();
  const many = configurationOf({a: 1, b: 1, c: 1});
  t.is(createWorkspaceWeights(() => many, timers)(undefined), 4);
  const none = emptyConfiguration;
  t.is(createWorkspaceWeights(() => none, timers)(undefined), 1);
});

test('without quotas or without a configuration all weights are equal', t => {
  const timers = createFakeTimers();
  const withoutQuotas = configurationOf({});
  for (const configuration of [withoutQuotas, undefined]) {
    t.is(createWorkspaceWeights(() => configuration, timers)('unlimited'), 1);
  }
  const zero = configurationOf({blocked: 0});
  t.is(createWorkspaceWeights(() => zero, timers)('blocked'), 1);
});

test('a changed quota counts at once, and a changed mean soon', t => {
  const timers = createFakeTimers();
  let configuration = configurationOf({a: 30, b: 10});
  const weightOf = createWorkspaceWeights(() => configuration, timers);
  t.is(weightOf('a'), 1.5 ** weightExponent);
  configuration = configurationOf({a: 60, b: 10, c: 20});
  t.is(weightOf('a'), 3 ** weightExponent);
  timers.advance(10_000);
  t.is(weightOf('a'), 2 ** weightExponent);
});

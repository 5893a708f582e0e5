import test from 'ava';
import {emptyConfiguration} from '../configuration/configuration.js';
import type {Policy} from '../configuration/configuration.js';
import {createNoMetrics} from '../metrics/metrics.js';
import type {AnsweredRequest, GateLoad} from '../metrics/metrics.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createConvergenceTracker} from './convergence.js';
import {reportLoad} from './report-load.js';
import {reportOutcome} from './report-outcome.js';

const outcome = {
  service: 'crewbook',
  route: 'records',
  policy: 'lookups',
  status: 200,
  code: undefined,
  duration: 7,
  attempts: 3,
  whole: true,
};

test('an outcome is reported with the objective of its policy and its retries', t => {
  const answered: AnsweredRequest[] = [];
  const retried: Array<[string, number]> = [];
  const metrics = Object.assign(createNoMetrics(), {
    answered: (request: AnsweredRequest) => void answered.push(request),
    retried: (service: string, attempts: number) =>
      void retried.push([service, attempts]),
  });
  const policy = {
    name: 'lookups',
    objective: {target: 0.99, latency: 40},
  } as Policy;
  const policies = new Map([['lookups', policy]]);
  reportOutcome(metrics, {...emptyConfiguration, policies}, outcome);
  t.is(answered[0]!.objective, 40);
  t.is(answered[0]!.code.number, 1000);
  t.deepEqual(retried, [['crewbook', 2]]);
  reportOutcome(metrics, undefined, {...outcome, route: '', service: ''});
  t.is(answered[1]!.route, 'none');
  t.is(answered[1]!.objective, Infinity);
  reportOutcome(metrics, undefined, {...outcome, whole: false});
  reportOutcome(metrics, undefined, {...outcome, status: 500});
  t.is(answered[2]!.code.name, 'answer-cut');
  t.is(answered[3]!.code.name, 'upstream-error');
});

test('a change has converged only when it is in force on every node', t => {
  const timers = createFakeTimers();
  const times: number[] = [];
  const metrics = Object.assign(createNoMetrics(), {
    converged: (duration: number) => void times.push(duration),
  });
  let inForce = 0;
  const fleet = () => ({nodes: 3, inForce});
  const convergence = createConvergenceTracker({timers, metrics, fleet});
  convergence.accepted(5);
  timers.advance(400);
  inForce = 2;
  timers.advance(1000);
  t.deepEqual(times, []);
  inForce = 3;
  timers.advance(100);
  t.deepEqual(times, [1450]);
  timers.advance(1000);
  t.is(times.length, 1);
});

test('a change that never converges is recorded above every bucket', t => {
  // Otherwise a node that stays disconnected would not show in the metric.
  const timers = createFakeTimers();
  const times: number[] = [];
  const metrics = Object.assign(createNoMetrics(), {
    converged: (duration: number) => void times.push(duration),
  });
  const fleet = () => ({nodes: 3, inForce: 2});
  const convergence = createConvergenceTracker({timers, metrics, fleet});
  convergence.accepted(5);
  timers.advance(61_000);
  t.deepEqual(times, [60_000]);
  convergence.stop();
});

test('queued requests are those that wait, also at an instance with a limit', t => {
  // They were derived from the load, which a limit raises without a queue.
  const timers = createFakeTimers();
  const queued: number[] = [];
  const metrics = Object.assign(createNoMetrics(), {
    load: (load: GateLoad) => void queued.push(load.queued),
  });
  const gate = {running: 1, waiting: 2, load: 5, report: undefined};
  const source = {upstream: () => ({slots: 8})};
  reportLoad(gate, {unsent: 0}, source, metrics, timers);
  timers.advance(1000);
  t.deepEqual(queued, [2]);
});

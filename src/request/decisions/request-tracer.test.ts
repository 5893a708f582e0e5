import test from 'ava';
import {createRecordedLog} from '../../log/fakes/recorded-log.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createRequestTracer} from './request-tracer.js';
import type {RequestTracerOptions} from './request-tracer.js';

/** Disables sampling unless `changes` enables it. */
function setUp(changes: Partial<RequestTracerOptions> = {}) {
  const {log, lines, messages} = createRecordedLog();
  const timers = createFakeTimers(1_000);
  const sampling = 2 ** 32;
  const tracer = createRequestTracer({log, timers, sampling, ...changes});
  return {tracer, timers, lines, messages};
}

test('all decisions of a failed request are logged, each line with its id', t => {
  const {tracer, lines, messages} = setUp();
  const trace = tracer.begin('r-1');
  trace.record('routed', {route: 'records'});
  trace.record('chosen', {instance: 'crewbook-1', load: 0.5});
  trace.end('refused', {code: 4003}, 'notable');
  t.deepEqual(messages(), ['routed', 'chosen', 'refused']);
  t.true(lines.every(line => line.fields.request === 'r-1'));
});

test('a successful request is not logged unless it is sampled', t => {
  const quiet = setUp();
  quiet.tracer.begin('r-1').end('answered', {status: 200}, 'plain');
  t.is(quiet.lines.length, 0);
  const sampled = setUp({sampling: 1});
  sampled.tracer.begin('r-1').end('answered', {status: 200}, 'plain');
  t.is(sampled.lines.length, 1);
});

test('every process samples the same requests', t => {
  const loggedIds = () => {
    const {tracer, lines} = setUp({sampling: 8});
    for (let count = 0; count < 100; count++) {
      tracer.begin(`r-${count}`).end('answered', {}, 'plain');
    }
    return lines.map(line => line.fields.request);
  };
  t.true(loggedIds().length > 0);
  t.deepEqual(loggedIds(), loggedIds());
});

test('the end of a request is logged once, and nothing after it', t => {
  const {tracer, messages} = setUp();
  const trace = tracer.begin('r-1');
  trace.end('cancelled', {}, 'notable');
  trace.record('moved', {});
  trace.end('refused', {}, 'notable');
  t.deepEqual(messages(), ['cancelled']);
});

test('failures beyond the rate are counted instead of logged', t => {
  const {tracer, timers, lines} = setUp({rate: 10, burst: 20});
  for (let count = 0; count < 500; count++) {
    const trace = tracer.begin(`r-${count}`);
    trace.record('routed', {});
    trace.end('refused', {}, 'notable');
  }
  t.is(lines.length, 20);
  timers.advance(1_000);
  t.is(lines.at(-1)?.fields.count, 980);
});

test('a long request id is truncated in the log', t => {
  const {tracer, lines} = setUp();
  tracer.begin('x'.repeat(10_000)).end('refused', {}, 'notable');
  t.true(String(lines[0]?.fields.request).length <= 64);
});

import test from 'ava';
import {createRecordedLog} from '../../log/fakes/recorded-log.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createRequestTracer} from './request-tracer.js';
import type {RequestTracerOptions} from './request-tracer.js';

/** Never samples unless told to. */
function stage(changes: Partial<RequestTracerOptions> = {}) {
  const {log, lines, messages} = createRecordedLog();
  const timers = createFakeTimers(1_000);
  const sampling = 2 ** 32;
  const stories = createRequestTracer({log, timers, sampling, ...changes});
  return {stories, timers, lines, messages};
}

test('a request that failed is told whole, each line with its id', t => {
  const {stories, lines, messages} = stage();
  const story = stories.begin('r-1');
  story.record('routed', {route: 'records'});
  story.record('chosen', {instance: 'crewbook-1', load: 0.5});
  story.end('refused', {code: 4003}, 'notable');
  t.deepEqual(messages(), ['routed', 'chosen', 'refused']);
  t.true(lines.every(line => line.fields.request === 'r-1'));
});

test('a good request is not told unless it is sampled', t => {
  const quiet = stage();
  quiet.stories.begin('r-1').end('answered', {status: 200}, 'plain');
  t.is(quiet.lines.length, 0);
  const sampled = stage({sampling: 1});
  sampled.stories.begin('r-1').end('answered', {status: 200}, 'plain');
  t.is(sampled.lines.length, 1);
});

test('every process samples the same requests', t => {
  const told = () => {
    const {stories, lines} = stage({sampling: 8});
    for (let count = 0; count < 100; count++) {
      stories.begin(`r-${count}`).end('answered', {}, 'plain');
    }
    return lines.map(line => line.fields.request);
  };
  t.true(told().length > 0);
  t.deepEqual(told(), told());
});

test('an end is told once, and nothing after it', t => {
  const {stories, messages} = stage();
  const story = stories.begin('r-1');
  story.end('cancelled', {}, 'notable');
  story.record('moved', {});
  story.end('refused', {}, 'notable');
  t.deepEqual(messages(), ['cancelled']);
});

test('failures beyond the rate are counted, not told', t => {
  const {stories, timers, lines} = stage({rate: 10, burst: 20});
  for (let count = 0; count < 500; count++) {
    const story = stories.begin(`r-${count}`);
    story.record('routed', {});
    story.end('refused', {}, 'notable');
  }
  t.is(lines.length, 20);
  timers.advance(1_000);
  t.is(lines.at(-1)?.fields.count, 980);
});

test('an id of any length makes a line of bounded length', t => {
  const {stories, lines} = stage();
  stories.begin('x'.repeat(10_000)).end('refused', {}, 'notable');
  t.true(String(lines[0]?.fields.request).length <= 64);
});

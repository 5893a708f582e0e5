import test from 'ava';
import {createSilentLog} from '../../log/log.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import type {UpstreamSignals} from '../messages/upstream-signals.js';
import {createUpstreamReport} from './upstream-report.js';

function setUp() {
  const timers = createFakeTimers(1_000);
  const report = createUpstreamReport({
    instance: 'stock-desk-1',
    process: 'this',
    timers,
    log: createSilentLog(),
  });
  const hear = (
    limit: UpstreamSignals['limit'],
    leaving: UpstreamSignals['leaving'] = 'no',
  ) => report.apply({limit, leaving});
  return {timers, report, hear, rate: () => report.limiter.rate};
}

test('a limit follows the answers', t => {
  const {timers, hear, rate} = setUp();
  t.is(rate(), undefined);
  for (const limit of [20, 5, 40]) {
    hear(limit);
    t.is(rate(), limit);
  }
  timers.advance(500);
  hear('none');
  t.is(rate(), undefined);
});

test('answers that overtake each other do not lift a limit', t => {
  const {timers, hear, rate} = setUp();
  hear(20);
  hear('none');
  timers.advance(400);
  hear('none');
  t.is(rate(), 20);
});

test('a malformed limit neither sets nor lifts one', t => {
  const {timers, report, hear, rate} = setUp();
  hear('malformed');
  t.is(rate(), undefined);
  hear(20);
  timers.advance(5_000);
  hear('malformed', 'malformed');
  t.is(rate(), 20);
  t.is(report.malformed, 2);
});

test('a reported shutdown is not taken back', t => {
  const {report, hear} = setUp();
  let calls = 0;
  report.onLeaving(() => calls++);
  hear('none', 'malformed');
  t.false(report.isLeaving);
  hear('none', 'yes');
  hear('none', 'no');
  hear('none', 'yes');
  t.true(report.isLeaving);
  t.is(calls, 1);
});

test('a limit that entries have heard applies until the first answer', t => {
  // After a restart beside a running upstream, many calls were sent before an
  // answer named the limit.
  const {report, hear, rate} = setUp();
  const adopt = (limit: number, process = 'this') =>
    report.adopt({process, limit});
  adopt(1, 'the one before');
  t.is(rate(), undefined);
  adopt(20);
  adopt(5);
  adopt(30);
  t.is(rate(), 5);
  hear('none');
  t.is(rate(), undefined);
  adopt(5);
  t.is(rate(), undefined);
});

import test from 'ava';
import {createSilentLog} from '../../log/log.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {createCapacityReport} from './capacity-report.js';

function setUp() {
  const timers = createFakeTimers(1_000);
  const log = createSilentLog();
  const report = createCapacityReport(timers, log, 'stock-desk-1');
  return {timers, report, state: () => [report.slots, report.pace]};
}

const load = {running: 1, waiting: 0, slots: 12, pace: 1.5};

// More slots than announced are admitted only while the upstream reports them.
test('a report counts until it is too old', t => {
  const {timers, report, state} = setUp();
  t.deepEqual(state(), [undefined, 1]);
  report.apply(load);
  t.deepEqual(state(), [12, 1.5]);
  timers.advance(3_000);
  t.deepEqual(state(), [12, 1.5]);
  timers.advance(1);
  t.deepEqual(state(), [undefined, 1]);
});

test('an answer without a load ends the report, unless it was overtaken', t => {
  const {timers, report, state} = setUp();
  report.apply(load);
  timers.advance(400);
  report.apply(undefined);
  t.deepEqual(state(), [12, 1.5]);
  timers.advance(100);
  report.apply(undefined);
  t.deepEqual(state(), [undefined, 1]);
});

test('a malformed load neither changes nor prolongs a report', t => {
  const {timers, report, state} = setUp();
  report.apply(load);
  timers.advance(2_000);
  report.apply('malformed');
  t.deepEqual(state(), [12, 1.5]);
  timers.advance(1_001);
  t.deepEqual(state(), [undefined, 1]);
});

test('a load without a duration reports the usual pace', t => {
  const {report, state} = setUp();
  report.apply(load);
  report.apply({running: 1, waiting: 0, slots: 4});
  t.deepEqual(state(), [4, 1]);
});

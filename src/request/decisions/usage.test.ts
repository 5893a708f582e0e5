import test from 'ava';
import {createRecordedLog} from '../../log/fakes/recorded-log.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import type {Outcome} from '../messages/call.js';
import {requestCodes} from '../messages/codes.js';
import {createEntryUsage} from './entry-usage.js';
import {createGateUsage} from './gate-usage.js';
import type {EndedCall} from './gate-usage.js';

function setUp() {
  const timers = createFakeTimers();
  const {log, lines} = createRecordedLog();
  return {timers, log, lines};
}

test('a gate tells for what its slots were held', t => {
  const {timers, log, lines} = setUp();
  const usage = createGateUsage({timers, log});
  const ended = (changes: Partial<EndedCall>) =>
    usage.record({
      kind: 'lookups',
      status: 200,
      code: undefined,
      isLate: false,
      waited: 5,
      held: 60,
      ...changes,
    });
  ended({});
  ended({isLate: true, held: 90});
  ended({status: 500, held: 70});
  ended({
    status: undefined,
    code: requestCodes.deadlineUnreachable,
    waited: undefined,
    held: 0,
  });
  timers.advance(1_000);
  t.deepEqual(lines[0]!.fields, {
    policy: 'lookups',
    period: 1_000,
    offered: 4,
    inTime: 1,
    started: 3,
    waitTime: 15,
    inTimeTime: 60,
    late: 1,
    lateTime: 90,
    failed: 1,
    failedTime: 70,
    'deadline-unreachable': 1,
  });
});

test('an entry tells how many requests it refused without an attempt', t => {
  const {timers, log, lines} = setUp();
  const usage = createEntryUsage({timers, log});
  const outcome: Outcome = {
    service: 'stock-desk',
    route: 'stock',
    policy: 'lookups',
    status: 503,
    code: requestCodes.deadlineUnreachable,
    duration: 2,
    attempts: 0,
    whole: true,
  };
  usage.record(outcome, false);
  usage.record({...outcome, attempts: 2, duration: 8}, false);
  usage.record({...outcome, status: 200, code: undefined, attempts: 1}, true);
  timers.advance(1_000);
  t.deepEqual(lines[0]!.fields, {
    policy: 'lookups',
    period: 1_000,
    requests: 3,
    attempts: 3,
    'deadline-unreachable': 2,
    notOffered: 1,
    'deadline-unreachableTime': 10,
    late: 1,
    lateTime: 2,
  });
});

import test from 'ava';
import {findDrainBreaks, findFalseRefusals, findLimitBreaks} from './checks.js';
import type {ObservedRun, SentRequest} from './checks.js';

/**
 * A run with an answer of process 7 at 1000 ms, which named a limit and a
 * shutdown at 900 ms, and then `count` requests from `from` ms on.
 */
function runOf(
  count: number,
  from: number,
  changes: Partial<ObservedRun> = {},
): ObservedRun {
  const reported = {at: 900, limit: '1', leaving: '1'};
  const first: SentRequest = {
    tag: 'first',
    node: 'a',
    sentAt: 990,
    endedAt: 1_000,
    status: 200,
    effect: '',
    answeredBy: 7,
    reported,
  };
  const times = Array.from({length: count}, (_none, index) => from + index);
  const later = times.map(at => ({
    tag: `at ${at}`,
    node: 'a',
    sentAt: at,
    endedAt: at,
    status: 503,
    effect: 'not-run',
  }));
  return {
    requests: [first, ...later],
    processes: [
      {
        instance: 'i',
        id: 7,
        changes: [{at: 0}, reported],
        arrivals: times.map(at => ({at, tag: `at ${at}`})),
      },
    ],
    disturbed: [],
    ...changes,
  };
}

test('more requests than one and a half times the limit and five are a break', t => {
  t.is(findLimitBreaks(runOf(11, 5_000)).length, 0);
  t.is(findLimitBreaks(runOf(12, 5_000)).length, 1);
  t.is(findLimitBreaks(runOf(12, 3_000)).length, 0);
});

test('a request that is sent after the drain time is a break', t => {
  t.is(findDrainBreaks(runOf(1, 2_900)).length, 0);
  t.is(findDrainBreaks(runOf(1, 3_100)).length, 1);
});

test('a restart or freeze of the node since it was told is no break', t => {
  const disturbed = [{node: 'a', at: 2_000}];
  t.is(findLimitBreaks(runOf(12, 5_000, {disturbed})).length, 0);
  t.is(findDrainBreaks(runOf(1, 5_000, {disturbed})).length, 0);
  const other = [{node: 'b', at: 2_000}];
  t.is(findLimitBreaks(runOf(12, 5_000, {disturbed: other})).length, 1);
});

test('a request that was refused as not run must not have arrived', t => {
  t.deepEqual(findFalseRefusals(runOf(1, 3_000)), ['at 3000']);
});

import test from 'ava';
import {createFakeTimers, settle} from '../../time/fakes/fake-timers.js';
import {callOf} from '../fakes/calls.js';
import type {Call} from '../messages/call.js';
import {createCrashDetector} from './crash-detector.js';

function setUp(isListening: () => Promise<boolean>) {
  const timers = createFakeTimers();
  const crashes: Array<readonly Call[]> = [];
  const detector = createCrashDetector({
    timers,
    isListening,
    onCrash: calls => void crashes.push(calls),
  });
  return {timers, detector, crashes};
}

test('all calls that a crash ended are reported together, once', async t => {
  const {timers, detector, crashes} = setUp(async () => false);
  detector.lost(callOf({id: 'one'}));
  timers.advance(20);
  detector.lost(callOf({id: 'two'}));
  timers.advance(30);
  await settle();
  detector.lost(callOf({id: 'late'}));
  timers.advance(50);
  await settle();
  t.deepEqual(
    crashes.map(calls => calls.map(({id}) => id)),
    [['one', 'two']],
  );
});

test('a broken connection to a running upstream is not a crash', async t => {
  let isAlive = true;
  const {timers, detector, crashes} = setUp(async () => isAlive);
  detector.lost(callOf({id: 'cut'}));
  timers.advance(50);
  await settle();
  t.deepEqual(crashes, []);
  isAlive = false;
  detector.lost(callOf({id: 'crashed'}));
  timers.advance(50);
  await settle();
  t.deepEqual(
    crashes.map(calls => calls.map(({id}) => id)),
    [['crashed']],
  );
});

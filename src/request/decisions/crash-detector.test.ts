import test from 'ava';
import {createFakeTimers, settle} from '../../time/fakes/fake-timers.js';
import {callOf} from '../fakes/calls.js';
import type {Call} from '../messages/call.js';
import {createCrashDetector} from './crash-detector.js';

function stage(listens: () => Promise<boolean>) {
  const timers = createFakeTimers();
  const crashes: Array<readonly Call[]> = [];
  const watch = createCrashDetector({
    timers,
    isListening: listens,
    onCrash: calls => void crashes.push(calls),
  });
  return {timers, watch, crashes};
}

test('all calls that a crash ended are told together, once', async t => {
  const {timers, watch, crashes} = stage(async () => false);
  watch.lost(callOf({id: 'one'}));
  timers.advance(20);
  watch.lost(callOf({id: 'two'}));
  timers.advance(30);
  await settle();
  watch.lost(callOf({id: 'late'}));
  timers.advance(50);
  await settle();
  t.deepEqual(
    crashes.map(calls => calls.map(({id}) => id)),
    [['one', 'two']],
  );
});

test('connections that break under an upstream that goes on are no crash', async t => {
  let listens = true;
  const {timers, watch, crashes} = stage(async () => listens);
  watch.lost(callOf({id: 'cut'}));
  timers.advance(50);
  await settle();
  t.deepEqual(crashes, []);
  listens = false;
  watch.lost(callOf({id: 'crashed'}));
  timers.advance(50);
  await settle();
  t.deepEqual(
    crashes.map(calls => calls.map(({id}) => id)),
    [['crashed']],
  );
});

import test from 'ava';
import {formatReportedState, parseReportedState} from './reported-state.js';

test('a reported state is the same after it was sent in a header', t => {
  const process = '10.0.0.1:80 i-1 17=&;%';
  for (const state of [
    {process},
    {process, limit: 0},
    {process, limit: 17.3, share: 0.25, leaving: true, life: 'i-1/17'},
  ]) {
    t.deepEqual(parseReportedState(formatReportedState(state)), state);
  }
});

test('a header without a process or with malformed numbers reports nothing of them', t => {
  t.is(parseReportedState(undefined), undefined);
  t.is(parseReportedState('limit=5'), undefined);
  t.deepEqual(parseReportedState('process=a&limit=x&share=7'), {process: 'a'});
});

import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {currentMoment} from '../time/moment.js';
import type {Moment} from '../time/moment.js';
import {keyState} from './request-path.js';

function setUp(revocation?: number) {
  const timers = createFakeTimers(1_000_000);
  let confirmedAt: Moment | undefined;
  const home = {
    asOf: () => confirmedAt?.steady,
    confirmedAt: () => confirmedAt,
  };
  const settings = {homeFreshness: 1_200, keys: {revocation}};
  return {
    timers,
    confirm: () => (confirmedAt = currentMoment(timers)),
    state: () => keyState(home, timers, settings),
  };
}

test('keys are used up to four fifths of a revocation, and not longer', t => {
  const {timers, confirm, state} = setUp(5_000);
  t.is(state(), 'expired');
  confirm();
  t.is(state(), 'confirmed');
  timers.advance(1_201);
  t.is(state(), 'unconfirmed');
  timers.advance(2_799);
  t.is(state(), 'unconfirmed');
  timers.advance(1);
  t.is(state(), 'expired');
  confirm();
  t.is(state(), 'confirmed');
});

test('keys of a VM that was suspended are not used', t => {
  const {timers, confirm, state} = setUp(5_000);
  confirm();
  timers.suspend(4_001);
  t.is(state(), 'expired');
});

test('keys are used however the time of day is set, once confirmed again', t => {
  const {timers, confirm, state} = setUp(5_000);
  confirm();
  timers.setWall(60_000);
  t.is(state(), 'expired');
  confirm();
  t.is(state(), 'confirmed');
  timers.setWall(-3_600_000);
  t.is(state(), 'confirmed');
  timers.advance(4_001);
  t.is(state(), 'expired');
});

test('without a time of revocation keys never expire', t => {
  const {timers, confirm, state} = setUp();
  t.is(state(), 'unconfirmed');
  confirm();
  timers.advance(86_400_000);
  timers.suspend(86_400_000);
  t.is(state(), 'unconfirmed');
});

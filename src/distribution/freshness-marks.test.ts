import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createFreshnessMarks} from './freshness-marks.js';

const heartbeat = 400;
const doubtAge = 800;

function createMarks() {
  const clock = createFakeTimers(10_000);
  const marks = createFreshnessMarks({clock, heartbeat, overdueAge: doubtAge});
  marks.acknowledge(1);
  marks.reset({asOf: clock.now(), version: 1, askedAt: clock.now()});
  /** The mark of another home that was asked just now. */
  const other = () => ({
    asOf: clock.now(),
    version: 1,
    askedAt: clock.now(),
  });
  return {clock, marks, other};
}

test('a home that answers in turn is no worse than another, however late', t => {
  const {clock, marks, other} = createMarks();
  const {number} = marks.ping();
  const asked = other();
  clock.advance(1000);
  t.false(marks.isWorseThan(asked));
  marks.receive({kind: 'pong', number, age: 100, version: 1});
  t.false(marks.isWorseThan(other()));
});

test('a home that is asked well before another and answers later is worse', t => {
  const {clock, marks, other} = createMarks();
  marks.ping();
  clock.advance(heartbeat);
  t.true(marks.isWorseThan(other()));
});

test('a home that says itself that its state is old is worse', t => {
  const {marks, other} = createMarks();
  const {number} = marks.ping();
  marks.receive({kind: 'pong', number, age: doubtAge + 1, version: 1});
  t.true(marks.isWorseThan(other()));
});

test('a home whose newest version does not come is worse after a while', t => {
  const {clock, marks, other} = createMarks();
  for (let passed = 0; passed <= 1200; passed += heartbeat) {
    const {number} = marks.ping();
    const mark = marks.receive({kind: 'pong', number, age: 0, version: 2})!;
    marks.confirm(mark);
    t.is(marks.isWorseThan(other()), passed > doubtAge);
    clock.advance(heartbeat);
  }
  marks.acknowledge(2);
  const {number} = marks.ping();
  marks.confirm(marks.receive({kind: 'pong', number, age: 0, version: 2})!);
  t.false(marks.isWorseThan(other()));
});

import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createFreshnessMarks} from './freshness-marks.js';

const heartbeat = 400;
const overdueAge = 800;

function createMarks() {
  const clock = createFakeTimers(10_000);
  const marks = createFreshnessMarks({clock, heartbeat, overdueAge});
  marks.acknowledge(1);
  marks.begin({asOf: clock.now(), version: 1, askedAt: clock.now()});
  /** Returns the mark of another home that was probed just now. */
  const other = () => ({
    asOf: clock.now(),
    version: 1,
    askedAt: clock.now(),
  });
  return {clock, marks, other};
}

test('a home that answers its pings in order is not worse than another, however late', t => {
  const {clock, marks, other} = createMarks();
  const {number} = marks.ping();
  const otherMark = other();
  clock.advance(1000);
  t.false(marks.isWorseThan(otherMark));
  marks.receive({kind: 'pong', number, age: 100, version: 1});
  t.false(marks.isWorseThan(other()));
});

test('a home that was pinged well before another and has not answered is worse', t => {
  const {clock, marks, other} = createMarks();
  marks.ping();
  clock.advance(heartbeat);
  t.true(marks.isWorseThan(other()));
});

test('a home that reports an old state is worse', t => {
  const {marks, other} = createMarks();
  const {number} = marks.ping();
  marks.receive({kind: 'pong', number, age: overdueAge + 1, version: 1});
  t.true(marks.isWorseThan(other()));
});

test('a home whose newest version does not arrive is worse after a delay', t => {
  const {clock, marks, other} = createMarks();
  for (let elapsed = 0; elapsed <= 1200; elapsed += heartbeat) {
    const {number} = marks.ping();
    const mark = marks.receive({kind: 'pong', number, age: 0, version: 2})!;
    marks.confirm(mark);
    t.is(marks.isWorseThan(other()), elapsed > overdueAge);
    clock.advance(heartbeat);
  }
  marks.acknowledge(2);
  const {number} = marks.ping();
  marks.confirm(marks.receive({kind: 'pong', number, age: 0, version: 2})!);
  t.false(marks.isWorseThan(other()));
});

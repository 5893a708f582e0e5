import test from 'ava';
import {createFakeTimers} from './fakes/fake-timers.js';
import {createPeriodicTasks} from './periodic-tasks.js';

/** Counts the one-shot timers, each of which wakes an idle process. */
function setUp(start = 0) {
  const timers = createFakeTimers(start);
  let wakeUps = 0;
  const tasks = createPeriodicTasks({
    now: () => timers.now(),
    after: (delay, task) =>
      timers.after(delay, () => {
        wakeUps++;
        task();
      }),
  });
  return {timers, tasks, wakeUps: () => wakeUps};
}

test('tasks that begin at different times run together', t => {
  const {timers, tasks, wakeUps} = setUp(13);
  const runs = new Map<number, number>();
  for (const period of [100, 200, 200, 1000]) {
    tasks.every(period, () => runs.set(period, (runs.get(period) ?? 0) + 1));
    timers.advance(7);
  }
  const before = wakeUps();
  timers.advance(10_000);
  t.is(wakeUps() - before, 100);
  t.is(runs.get(100), 100);
  t.is(runs.get(200), 100);
  t.is(runs.get(1000), 10);
});

test('the first run is after at most one period, the next ones a period apart', t => {
  const {timers, tasks} = setUp(130);
  const times: number[] = [];
  tasks.every(100, () => times.push(timers.now()));
  timers.advance(300);
  t.deepEqual(times, [200, 300, 400]);
});

test('a cancelled task does not run, also if another one cancels it', t => {
  const {timers, tasks, wakeUps} = setUp();
  const runs: string[] = [];
  const first = tasks.every(10, () => {
    runs.push('first');
    second.cancel();
  });
  const second = tasks.every(10, () => runs.push('second'));
  timers.advance(10);
  first.cancel();
  first.cancel();
  timers.advance(100);
  t.deepEqual(runs, ['first']);
  t.is(wakeUps(), 1);
});

test('a task may cancel itself and start again', t => {
  const {timers, tasks} = setUp();
  let runs = 0;
  let current = tasks.every(10, again);
  function again(): void {
    runs++;
    current.cancel();
    current = tasks.every(10, again);
  }
  timers.advance(50);
  t.is(runs, 5);
});

// A VM is suspended for a second. Its heartbeats must not be sent many times when
// it resumes.
test('runs that were missed are skipped', t => {
  let now = 0;
  let runTimer = () => {};
  const tasks = createPeriodicTasks({
    now: () => now,
    after: (_, task) => {
      runTimer = task;
      return {cancel: () => {}};
    },
  });
  let runs = 0;
  tasks.every(50, () => runs++);
  now = 1020;
  runTimer();
  t.is(runs, 1);
  now = 1050;
  runTimer();
  t.is(runs, 2);
});

test('a task of a shorter period is not delayed by one of a longer period', t => {
  const {timers, tasks} = setUp();
  const times: number[] = [];
  tasks.every(1000, () => {});
  timers.advance(100);
  tasks.every(20, () => times.push(timers.now()));
  timers.advance(40);
  t.deepEqual(times, [120, 140]);
});

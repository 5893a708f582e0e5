/**
 * Runs periodic tasks at common times. All tasks of one period run together, at
 * multiples of the period, and periods that divide each other meet. An idle
 * process is woken once for all tasks that are due, instead of once for each: its
 * processor time while idle is mostly the cost of waking up.
 */
import type {Subscription} from './subscription.js';

/** Clock and one-shot timers of the tasks; fakes in tests. */
export interface TaskClock {
  /** Milliseconds since an arbitrary start; monotonic. */
  now(): number;
  after(delay: number, task: () => void): Subscription;
}

/** Schedules periodic tasks. */
export interface PeriodicTasks {
  /**
   * Calls `task` every `period` milliseconds until cancelled, the first time
   * after at most one period.
   */
  every(period: number, task: () => void): Subscription;
}

/** The tasks of one period. */
interface Group {
  readonly period: number;
  readonly tasks: Set<{run: () => void}>;
  /** Time of the next run. */
  due: number;
}

/**
 * Milliseconds by which a group may run early to share a wake-up. A timer of
 * Node.js may be early or late by a millisecond.
 */
const tolerance = 2;

/** Creates a scheduler that uses one timer for all tasks. */
export function createPeriodicTasks(clock: TaskClock): PeriodicTasks {
  const groups = new Map<number, Group>();
  let timer: Subscription | undefined;
  let timerDue = Infinity;

  function schedule(): void {
    let due = Infinity;
    for (const group of groups.values()) due = Math.min(due, group.due);
    if (due === timerDue) return;
    timer?.cancel();
    timerDue = due;
    timer =
      due === Infinity
        ? undefined
        : clock.after(Math.max(1, Math.ceil(due - clock.now())), runDue);
  }

  function runDue(): void {
    timerDue = Infinity;
    const now = clock.now();
    const due: Group[] = [];
    for (const group of groups.values()) {
      if (group.due > now + tolerance) continue;
      due.push(group);
      // A group that is late, because the process was suspended, skips the runs
      // that it missed.
      group.due = Math.max(
        group.due + group.period,
        nextMultiple(now, group.period),
      );
    }
    schedule();
    for (const {tasks} of due) {
      // A task may cancel others and add tasks.
      for (const task of [...tasks]) if (tasks.has(task)) task.run();
    }
  }

  function groupOf(period: number): Group {
    let group = groups.get(period);
    if (group === undefined) {
      const due = nextMultiple(clock.now(), period);
      group = {period, tasks: new Set(), due};
      groups.set(period, group);
    }
    return group;
  }

  return {
    every(period, run) {
      const group = groupOf(period);
      const task = {run};
      group.tasks.add(task);
      schedule();
      return {
        cancel() {
          group.tasks.delete(task);
          if (group.tasks.size > 0 || groups.get(period) !== group) return;
          groups.delete(period);
          schedule();
        },
      };
    },
  };
}

function nextMultiple(now: number, period: number): number {
  return (Math.floor(now / period) + 1) * period;
}

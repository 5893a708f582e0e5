import {Timers} from '../../time/timers.js';
import type {Subscription} from '../../time/timers.js';

/** A process of a test that can be killed and suspended. */
export interface TestProcess {
  readonly name: string;
  readonly timers: Timers;
  isDead: boolean;
  /** Runs a task now, after the process has resumed, or never if it is dead. */
  run(task: () => void): void;
  /** Stops the process and its monotonic clock, but not its wall clock. */
  suspend(): void;
  resume(): void;
}

/** Creates a process on shared timers. */
export function createTestProcess(name: string, base: Timers): TestProcess {
  let suspendedAt: number | undefined;
  let missing = 0;
  let delayed: Array<() => void> = [];

  const process: TestProcess = {
    name,
    isDead: false,
    timers: new (class extends Timers {
      now(): number {
        return (suspendedAt ?? base.now()) - missing;
      }

      wall(): number {
        return base.now();
      }

      after(delay: number, task: () => void): Subscription {
        let isCancelled = false;
        const timer = base.after(delay, () =>
          process.run(() => {
            if (!isCancelled) task();
          }),
        );
        return {
          cancel() {
            isCancelled = true;
            timer.cancel();
          },
        };
      }

      every(period: number, task: () => void): Subscription {
        let timer: Subscription;
        const next = () => {
          timer = this.after(period, () => {
            next();
            task();
          });
        };
        next();
        return {cancel: () => timer.cancel()};
      }
    })(),
    run(task) {
      if (process.isDead) return;
      if (suspendedAt === undefined) task();
      else delayed.push(task);
    },
    suspend: () => void (suspendedAt ??= base.now()),
    resume() {
      if (suspendedAt === undefined) return;
      missing += base.now() - suspendedAt;
      suspendedAt = undefined;
      const tasks = delayed;
      delayed = [];
      for (const task of tasks) process.run(task);
    },
  };
  return process;
}

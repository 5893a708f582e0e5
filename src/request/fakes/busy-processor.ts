import {Timers} from '../../time/timers.js';
import type {Subscription} from '../../time/timers.js';

/** A processor that runs what it is given one after the other. */
export interface BusyProcessor {
  /** Timers whose tasks wait for their turn like all else. */
  readonly timers: Timers;
  /** Runs a task once what came before it is done, and for `cost` milliseconds. */
  run(cost: number, task: () => void): void;
}

/** Creates a processor on the time of `outer`. */
export function createBusyProcessor(outer: Timers): BusyProcessor {
  let freeAt = outer.now();

  function run(cost: number, task: () => void): void {
    freeAt = Math.max(freeAt, outer.now()) + cost;
    outer.after(freeAt - outer.now(), task);
  }

  const timers = new (class extends Timers {
    now(): number {
      return outer.now();
    }

    wall(): number {
      return outer.wall();
    }

    after(delay: number, task: () => void): Subscription {
      return outer.after(delay, () => run(0, task));
    }

    every(period: number, task: () => void): Subscription {
      let next: Subscription;
      let isOver = false;
      const wait = () => {
        next = outer.after(period, () => run(0, turn));
      };
      const turn = () => {
        if (isOver) return;
        task();
        wait();
      };
      wait();
      return {
        cancel: () => {
          isOver = true;
          next.cancel();
        },
      };
    }
  })();

  return {timers, run};
}

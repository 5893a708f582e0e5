import {ForwardingLink} from '../../link/forwarding-link.js';
import {Network} from '../../link/link.js';
import type {Address, Link, Listener} from '../../link/link.js';
import {Timers} from '../../time/timers.js';
import type {Subscription} from '../../time/timers.js';

/** The timers of one process, which can be frozen without affecting others. */
export abstract class FreezableTimers extends Timers {
  /** Runs a task now, or if the process is frozen, once it is thawed. */
  abstract whenThawed(task: () => void): void;
  abstract freeze(): void;
  abstract thaw(): void;
}

/** Creates freezable timers on top of `timers`. */
export function createFreezableTimers(timers: Timers): FreezableTimers {
  let heldTasks: Array<() => void> | undefined;

  const whenThawed = (task: () => void) => {
    if (heldTasks === undefined) task();
    else heldTasks.push(task);
  };

  return new (class extends FreezableTimers {
    whenThawed = whenThawed;

    freeze(): void {
      heldTasks ??= [];
    }

    thaw(): void {
      const tasks = heldTasks ?? [];
      heldTasks = undefined;
      for (const task of tasks) task();
    }

    now(): number {
      return timers.now();
    }

    wall(): number {
      return timers.wall();
    }

    after(delay: number, task: () => void): Subscription {
      return timers.after(delay, () => whenThawed(task));
    }

    every(period: number, task: () => void): Subscription {
      let isPending = false;
      // An interval that elapsed several times while frozen fires once.
      return timers.every(period, () => {
        if (isPending) return;
        isPending = true;
        whenThawed(() => {
          isPending = false;
          task();
        });
      });
    }
  })();
}

/**
 * Creates a network whose messages are held back while the process is frozen.
 */
export function createFreezableNetwork(
  network: Network,
  clock: FreezableTimers,
): Network {
  return new (class extends Network {
    async listen(
      address: Address,
      accept: (link: Link) => void,
    ): Promise<Listener> {
      const listener = await network.listen(address, link =>
        clock.whenThawed(() => accept(wrap(link, clock))),
      );
      return {
        address: listener.address,
        close: () =>
          new Promise(resolve =>
            clock.whenThawed(() => void listener.close().then(resolve)),
          ),
      };
    }

    async connect(address: Address): Promise<Link> {
      const link = wrap(await network.connect(address), clock);
      return new Promise(resolve => clock.whenThawed(() => resolve(link)));
    }
  })();
}

function wrap(link: Link, clock: FreezableTimers): Link {
  return new (class extends ForwardingLink {
    override onMessage(receive: (message: unknown) => void): void {
      link.onMessage(message => clock.whenThawed(() => receive(message)));
    }

    override onClose(closed: () => void): void {
      link.onClose(() => clock.whenThawed(closed));
    }
  })(link);
}

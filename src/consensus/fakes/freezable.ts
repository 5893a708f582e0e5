import {ForwardingLink} from '../../link/forwarding-link.js';
import {Network} from '../../link/link.js';
import type {Address, Link, Listener} from '../../link/link.js';
import {Timers} from '../../time/timers.js';
import type {Subscription} from '../../time/timers.js';

/** A process's view of time that can stand still for this process alone. */
export abstract class FreezableTimers extends Timers {
  /** Runs a task now, or when the process goes on. */
  abstract whenThawed(task: () => void): void;
  abstract freeze(): void;
  abstract thaw(): void;
}

/** Creates a freezable view of `timers`. */
export function createFreezableTimers(timers: Timers): FreezableTimers {
  let held: Array<() => void> | undefined;

  const whenAwake = (task: () => void) => {
    if (held === undefined) task();
    else held.push(task);
  };

  return new (class extends FreezableTimers {
    whenThawed = whenAwake;

    freeze(): void {
      held ??= [];
    }

    thaw(): void {
      const tasks = held ?? [];
      held = undefined;
      for (const task of tasks) task();
    }

    now(): number {
      return timers.now();
    }

    wall(): number {
      return timers.wall();
    }

    after(delay: number, task: () => void): Subscription {
      return timers.after(delay, () => whenAwake(task));
    }

    every(period: number, task: () => void): Subscription {
      let isHeld = false;
      // An interval that fell due many times while frozen fires once.
      return timers.every(period, () => {
        if (isHeld) return;
        isHeld = true;
        whenAwake(() => {
          isHeld = false;
          task();
        });
      });
    }
  })();
}

/** Creates a view of a network whose messages wait while the process is frozen. */
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

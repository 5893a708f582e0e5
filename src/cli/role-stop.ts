import type {RunningRole} from '../process/role.js';
import {delayUntil} from '../time/deadline.js';
import type {Timers} from '../time/timers.js';

/** Options of `createRoleStop`; times in milliseconds. */
export interface RoleStopOptions {
  /** Resolves once the role has started. */
  readonly started: Promise<RunningRole>;
  /** Maximum duration of a planned stop. */
  readonly deadline: number;
  readonly timers: Timers;
}

/**
 * Milliseconds that a stop waits for a role that is still starting. A node takes
 * requests shortly before it has started. A role that takes longer may wait for
 * other processes, and has taken none.
 */
const startTimeout = 1_000;

/** Creates the planned stop of a role that may still be starting. */
export function createRoleStop(options: RoleStopOptions): () => Promise<void> {
  const {started, deadline, timers} = options;

  /** The role, or undefined if it has not started within `startTimeout`. */
  function waitForStart(): Promise<RunningRole | undefined> {
    return new Promise((resolve, reject) => {
      const timer = timers.after(Math.min(startTimeout, deadline), () =>
        resolve(undefined),
      );
      started.then(resolve, reject).finally(() => timer.cancel());
    });
  }

  return async () => {
    const end = timers.now() + deadline;
    const role = await waitForStart();
    await role?.stop(delayUntil(end, timers.now()));
  };
}

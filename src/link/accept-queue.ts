/**
 * Watches the system's queue of connections that were opened and not yet
 * accepted. Node.js accepts one of them in each turn of the event loop, so while
 * turns are long, requests wait in this queue, where no other measure of the
 * process sees them.
 */
import type {Clock} from '../time/clock.js';
import {nextTurn} from '../time/turn.js';

/** The queue of one listener. */
export interface AcceptQueue {
  /** Records that a connection was accepted. */
  accepted(): void;
  /** Milliseconds for which the queue has not been empty. */
  age(): number;
  /**
   * Resolves once the queue is empty and the requests that had arrived on its
   * connections were read.
   */
  drained(): Promise<void>;
}

/** Creates the watch of an empty queue. */
export function createAcceptQueue(clock: Pick<Clock, 'now'>): AcceptQueue {
  let count = 0;
  let filledAt: number | undefined;

  /** Resolves after a turn of the loop that accepted no connection. */
  async function emptied(): Promise<void> {
    // The rest of this turn accepts none.
    await nextTurn();
    let before: number;
    do {
      before = count;
      await nextTurn();
    } while (before !== count);
  }

  return {
    accepted: () => {
      count++;
      if (filledAt !== undefined) return;
      filledAt = clock.now();
      void emptied().then(() => (filledAt = undefined));
    },
    age: () => (filledAt === undefined ? 0 : clock.now() - filledAt),
    drained: async () => {
      await emptied();
      // The connections that were accepted last are read in the next turns.
      await nextTurn();
      await nextTurn();
    },
  };
}

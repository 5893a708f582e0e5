import {failure} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Timers} from '../time/timers.js';
import {distributionCodes} from './codes.js';

/** Confirms with a quorum that the local state is as new as any accepted. */
export type Barrier = () => Promise<Result<number>>;

/** Shares quorum rounds between nonces. */
export interface Prover {
  /** Calls `done` after a round that began no earlier than now. */
  prove(done: (result: Result<number>) => void): void;
  /** Rounds begun so far. */
  rounds(): number;
}

/**
 * Creates a prover. A nonce may only be answered by a round that began after
 * it came: an earlier round could have missed a change that the asking node
 * has seen in its former life. So nonces that come during a round share the
 * next one, and a herd's return costs two rounds at a time, not one each.
 */
export function createProver(barrier: Barrier): Prover {
  let waiting: Array<(result: Result<number>) => void> = [];
  let running = false;
  let rounds = 0;

  async function run(): Promise<void> {
    running = true;
    try {
      while (waiting.length > 0) await runRound();
    } finally {
      running = false;
    }
  }

  async function runRound(): Promise<void> {
    const sharing = waiting;
    waiting = [];
    rounds++;
    const result = await barrier();
    for (const done of sharing) done(result);
  }

  return {
    prove(done) {
      waiting.push(done);
      if (!running) void run();
    },
    rounds: () => rounds,
  };
}

/**
 * Bounds a barrier by time: a round that hangs with a cut link would keep all
 * later nonces waiting, also after the link is back.
 */
export function boundBarrier(
  barrier: Barrier,
  timers: Timers,
  timeout: number,
): Barrier {
  return () =>
    new Promise(resolve => {
      const fail = (problem: string) =>
        resolve(failure(distributionCodes.noProof, problem));
      const timer = timers.after(timeout, () => fail('no quorum in time'));
      barrier().then(
        result => {
          timer.cancel();
          resolve(result);
        },
        (error: Error) => {
          timer.cancel();
          fail(error.message);
        },
      );
    });
}

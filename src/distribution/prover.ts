import {failure} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Timers} from '../time/timers.js';
import {distributionCodes} from './codes.js';

/**
 * Confirms with a quorum that the local state is as new as any accepted;
 * resolves with its version.
 */
export type Barrier = () => Promise<Result<number>>;

/** Confirms nonces by quorum rounds, each shared by many. */
export interface Prover {
  /**
   * Calls `done` with the result of a round that starts no earlier than now.
   */
  prove(done: (result: Result<number>) => void): void;
  /** Number of rounds started. */
  rounds(): number;
}

/**
 * Creates a prover. A nonce may only be answered by a round that starts after
 * its arrival: an earlier round may miss a change that the requesting node
 * already served before its restart. Nonces that arrive during a round share
 * the next one, so the return of many nodes costs two rounds at a time instead
 * of one for each.
 */
export function createProver(barrier: Barrier): Prover {
  let waiting: Array<(result: Result<number>) => void> = [];
  let isRunning = false;
  let rounds = 0;

  async function run(): Promise<void> {
    isRunning = true;
    try {
      while (waiting.length > 0) await runRound();
    } finally {
      isRunning = false;
    }
  }

  async function runRound(): Promise<void> {
    const callbacks = waiting;
    waiting = [];
    rounds++;
    const result = await barrier();
    for (const done of callbacks) done(result);
  }

  return {
    prove(done) {
      waiting.push(done);
      if (!isRunning) void run();
    },
    rounds: () => rounds,
  };
}

/**
 * Adds a timeout to a barrier. A round that hangs on an interrupted link would
 * otherwise block all later nonces, even after the link is restored.
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
      const timer = timers.after(timeout, () =>
        fail('no quorum answered in time'),
      );
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

/**
 * Searches for a home by probing several concurrently. Probed one after the
 * other, each unreachable or suspended home costs its whole timeout, and the
 * sum of the timeouts delays accepted changes.
 */
import type {HomeAddress} from '../fleet/messages.js';
import type {Address, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Subscription, Timers} from '../time/timers.js';
import {probeHome} from './home-probe.js';
import type {HomeCandidate, HomeProbe} from './home-probe.js';
import {distributionLimits as limits} from './limits.js';

/** Why each home that was probed in a round was not attached to. */
export type HomeProblems = ReadonlyMap<Address, string>;

/** Options of createHomeSearch. */
export interface HomeSearchOptions {
  readonly network: Network;
  readonly timers: Timers;
  readonly log: Log;
  /**
   * The homes to probe in a round, in this order; an empty list skips the
   * round.
   */
  readonly homes: () => readonly HomeAddress[];
  /**
   * Attaches to a home that answered and returns undefined, or returns why it
   * is rejected. `round` is the one in which it was probed, counted from 0 since
   * the search started.
   */
  readonly tryAttach: (
    candidate: HomeCandidate,
    round: number,
  ) => string | undefined;
  /** Called when a home cannot be connected to or does not answer. */
  readonly onFailure: (home: HomeAddress) => void;
  /**
   * Called at the end of a round without a result, with the reason for each
   * home that was probed. Returns the milliseconds until the next round;
   * undefined to start none. Probes in progress still count in either case.
   */
  readonly nextRoundDelay: (problems: HomeProblems) => number | undefined;
}

/** A search for a home. */
export interface HomeSearch {
  /**
   * Starts a round after `delay` milliseconds. Probes that are in progress
   * still count; the homes to probe next are determined anew.
   */
  begin(delay: number): void;
  /** Whether a round is running or scheduled; probes may be in progress without. */
  isActive(): boolean;
  /** Ends the search and cancels its probes. */
  stop(): void;
}

/** Creates a search that has not started. */
export function createHomeSearch(options: HomeSearchOptions): HomeSearch {
  const {network, timers, log} = options;
  const probes = new Map<Address, HomeProbe>();
  let queue: HomeAddress[] = [];
  let problems = new Map<Address, string>();
  let round = 0;
  let isRoundRunning = false;
  let timer: Subscription | undefined;

  function stop(): void {
    timer?.cancel();
    timer = undefined;
    for (const probe of probes.values()) probe.cancel();
    probes.clear();
    queue = [];
    isRoundRunning = false;
    round = 0;
  }

  function startRound(): void {
    isRoundRunning = true;
    problems = new Map();
    queue = options.homes().filter(({address}) => !probes.has(address));
    probeNext();
  }

  /** Probes one more home, and after a delay another one concurrently. */
  function probeNext(): void {
    timer?.cancel();
    timer = undefined;
    if (probes.size >= limits.maxConcurrentProbes) return;
    const home = queue.shift();
    if (home !== undefined) {
      startProbe(home);
      timer = timers.after(limits.nextProbeDelay, probeNext);
    } else if (probes.size === 0) {
      endRound();
    } else {
      timer = timers.after(limits.nextProbeDelay, endRound);
    }
  }

  /**
   * Ends a round, also while homes have not answered. A home that hangs would
   * otherwise delay the next probe of one that has just been restarted.
   */
  function endRound(): void {
    isRoundRunning = false;
    timer = undefined;
    for (const address of probes.keys()) problems.set(address, 'no answer yet');
    const delay = options.nextRoundDelay(problems);
    if (delay === undefined) return;
    round++;
    timer = timers.after(delay, startRound);
  }

  function startProbe(home: HomeAddress): void {
    const startedInRound = round;
    const probe = probeHome({
      home,
      network,
      timers,
      timeout: limits.answerTimeout,
      onAnswer(candidate) {
        probes.delete(home.address);
        receive(candidate, startedInRound);
      },
      onFailure(problem) {
        log.debug('home did not answer the probe', {
          home: home.address,
          problem,
        });
        probes.delete(home.address);
        problems.set(home.address, problem);
        options.onFailure(home);
        if (isRoundRunning) probeNext();
      },
    });
    probes.set(home.address, probe);
  }

  function receive(candidate: HomeCandidate, probedInRound: number): void {
    const problem = options.tryAttach(candidate, probedInRound);
    if (problem === undefined) {
      stop();
      return;
    }
    problems.set(candidate.home.address, problem);
    candidate.channels.link.close();
    if (isRoundRunning) probeNext();
  }

  return {
    begin(delay) {
      round = 0;
      timer?.cancel();
      timer = timers.after(delay, startRound);
    },
    isActive: () => isRoundRunning || timer !== undefined,
    stop,
  };
}

/**
 * Looks for a home by asking several beside each other. Asked one after the
 * other, each that is cut off or stands still costs its whole timeout, and the
 * sum is what keeps an accepted change from a node.
 */
import type {HomeAddress} from '../fleet/messages.js';
import type {Address, Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Subscription, Timers} from '../time/timers.js';
import {probeHome} from './home-probe.js';
import type {HomeCandidate, HomeProbe} from './home-probe.js';
import {distributionLimits as limits} from './limits.js';

/** What a search works with. */
export interface HomeSearchOptions {
  readonly network: Network;
  readonly timers: Timers;
  readonly log: Log;
  /** The homes to ask in a round, in this order; empty to leave it out. */
  readonly homes: () => readonly HomeAddress[];
  /**
   * Takes the link of a home that answered, or leaves it. `round` counts from 0
   * since the search began.
   */
  readonly tryAttach: (candidate: HomeCandidate, round: number) => boolean;
  /** A home has no connection or no answer. */
  readonly onFailure: (home: HomeAddress) => void;
  /** Milliseconds until the next round; undefined to end the search. */
  readonly nextRoundDelay: () => number | undefined;
}

/** A search for a home. */
export interface HomeSearch {
  /**
   * Begins a round after `delay` milliseconds. Of one under way the answers still
   * count; which homes are left to ask is decided anew.
   */
  start(delay: number): void;
  /** Whether a round is under way or due. */
  isActive(): boolean;
  /** Ends it, with all questions under way. */
  stop(): void;
}

/** Creates a search that asks nobody yet. */
export function createHomeSearch(options: HomeSearchOptions): HomeSearch {
  const {network, timers, log} = options;
  const underWay = new Map<Address, HomeProbe>();
  let queue: HomeAddress[] = [];
  let round = 0;
  let isAsking = false;
  let timer: Subscription | undefined;

  function end(): void {
    timer?.cancel();
    timer = undefined;
    for (const question of underWay.values()) question.cancel();
    underWay.clear();
    queue = [];
    isAsking = false;
    round = 0;
  }

  function beginRound(): void {
    isAsking = true;
    queue = options.homes().filter(({address}) => !underWay.has(address));
    askNext();
  }

  /** Asks one more home, and after a while another beside it. */
  function askNext(): void {
    timer?.cancel();
    timer = undefined;
    if (underWay.size >= limits.askedAtOnce) return;
    const home = queue.shift();
    if (home !== undefined) {
      ask(home);
      timer = timers.after(limits.askPatience, askNext);
    } else if (underWay.size === 0) {
      endRound();
    }
  }

  function endRound(): void {
    isAsking = false;
    const delay = options.nextRoundDelay();
    if (delay === undefined) {
      end();
      return;
    }
    round++;
    timer = timers.after(delay, beginRound);
  }

  function ask(home: HomeAddress): void {
    const question = probeHome({
      home,
      network,
      timers,
      timeout: limits.answerTimeout,
      onAnswer(candidate) {
        underWay.delete(home.address);
        receive(candidate);
      },
      onFailure(problem) {
        log.debug('no answer of home', {home: home.address, problem});
        underWay.delete(home.address);
        options.onFailure(home);
        askNext();
      },
    });
    underWay.set(home.address, question);
  }

  function receive(candidate: HomeCandidate): void {
    if (options.tryAttach(candidate, round)) {
      end();
      return;
    }
    candidate.channels.link.close();
    askNext();
  }

  return {
    start(delay) {
      round = 0;
      timer?.cancel();
      timer = timers.after(delay, beginRound);
    },
    isActive: () => isAsking || timer !== undefined,
    stop: end,
  };
}

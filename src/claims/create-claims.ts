/**
 * The gate's side of claims: asks the keepers of a service to vote on a claim.
 * A majority of them decides.
 */
import type {KeeperAssignment} from '../configuration/configuration.js';
import type {Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Timers} from '../time/timers.js';
import {runAttempt} from './attempt.js';
import type {AttemptOptions, Candidate} from './attempt.js';
import {Claims} from './claims.js';
import type {Acquisition, ClaimRequest} from './claims.js';
import {claimCodes} from './codes.js';
import {createKeeperClient} from './keeper-client.js';
import {createSettlementSender} from './settlement-sender.js';
import {refuse} from './attempt-result.js';
import type {AttemptResult} from './attempt-result.js';
import {majorityOf} from './vote-count.js';

/** Options of `createClaims`. */
export interface ClaimsOptions {
  /** Name of this incarnation of the gate's process; never reused. */
  readonly self: string;
  readonly network: Network;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** The keeper set in this node's configuration. */
  assignment(service: string): KeeperAssignment | undefined;
  /** Time to wait for votes, in milliseconds; default 1000. */
  readonly voteTimeout?: number;
  /** Largest answer body kept for resends, in bytes; default 4096. */
  readonly answerLimit?: number;
  /** For tests only: number of votes needed; a majority by default. */
  readonly votesNeeded?: (keepers: number) => number;
}

/** Claims that keepers hold. */
export abstract class KeeperClaims extends Claims {
  abstract stop(): void;
}

const defaultVoteTimeout = 1000;
const defaultAnswerLimit = 4096;
/**
 * Milliseconds between attempts while the keeper set changes; doubled each
 * time.
 */
const minStalePause = 10;
const maxStalePause = 40;

/** Creates the gate's side of claims. */
export function createClaims(options: ClaimsOptions): KeeperClaims {
  const {timers} = options;
  const log = options.log.scope('claims');
  const keeperClient = createKeeperClient(options.network, timers);
  /** Sets reported by keepers that the configuration does not have yet. */
  const learned = new Map<string, KeeperAssignment>();
  let lastClaim = 0;

  function learnSet(service: string, set: KeeperAssignment): void {
    const known = learned.get(service)?.epoch ?? 0;
    if (set.epoch > known) learned.set(service, set);
  }

  function assignmentOf(service: string): KeeperAssignment | undefined {
    const configured = options.assignment(service);
    const reported = learned.get(service);
    if (configured === undefined || reported === undefined) return configured;
    if (reported.epoch > configured.epoch) return reported;
    learned.delete(service);
    return configured;
  }

  const members = (service: string) => assignmentOf(service)?.members ?? [];
  const settlementSender = createSettlementSender({
    keeperClient,
    timers,
    members,
  });
  const attemptOptions: AttemptOptions = {
    keeperClient,
    settlementSender,
    timers,
    random: options.random,
    voteTimeout: options.voteTimeout ?? defaultVoteTimeout,
    answerLimit: options.answerLimit ?? defaultAnswerLimit,
    votesNeeded: options.votesNeeded ?? majorityOf,
    learnSet,
  };

  function createCandidate(): Candidate {
    return {claim: `${options.self}/${++lastClaim}`, contacted: new Set()};
  }

  function tryOnce(
    request: ClaimRequest,
    candidate: Candidate,
  ): Promise<AttemptResult> {
    const assignment = assignmentOf(request.service);
    if (assignment === undefined || timers.now() >= request.deadline) {
      return Promise.resolve(release(request, candidate));
    }
    return runAttempt(attemptOptions, request, assignment, candidate);
  }

  function release(
    request: ClaimRequest,
    {claim, contacted}: Candidate,
  ): AttemptResult {
    const {service, key, fingerprint} = request;
    const settlement = {kind: 'released'} as const;
    const work = {service, key, fingerprint, claim};
    if (contacted.size > 0) {
      settlementSender.send({kind: 'settle', settlement, ...work}, [
        ...contacted,
      ]);
    }
    return refuse(claimCodes.keepersUnavailable);
  }

  async function acquire(request: ClaimRequest): Promise<Acquisition> {
    let candidate = createCandidate();
    let stalePause = minStalePause;
    for (;;) {
      const result = await tryOnce(request, candidate);
      if (result.kind === 'end') return logRefusal(request, result.acquisition);
      const pause = result.kind === 'again' ? result.pause : stalePause;
      if (result.kind === 'again') candidate = createCandidate();
      else stalePause = Math.min(stalePause * 2, maxStalePause);
      await new Promise<void>(resolve => timers.after(pause, resolve));
    }
  }

  function logRefusal(
    {service}: ClaimRequest,
    acquisition: Acquisition,
  ): Acquisition {
    if (acquisition.kind === 'refused') {
      log.debug('claim refused', {service, code: acquisition.code.number});
    }
    return acquisition;
  }

  return new (class extends KeeperClaims {
    acquire(request: ClaimRequest): Promise<Acquisition> {
      return acquire(request);
    }

    stop(): void {
      keeperClient.stop();
    }
  })();
}

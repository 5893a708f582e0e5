/** The gate's side of claims: asks a service's keepers, a majority decides. */
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

/** What the gate's side is made of. */
export interface ClaimsOptions {
  /** Names this life of the gate: no other one ever has the same. */
  readonly self: string;
  readonly network: Network;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  /** The keeper set in force as this node knows it. */
  assignment(service: string): KeeperAssignment | undefined;
  /** Milliseconds to wait for votes; default 1000. */
  readonly voteTimeout?: number;
  /** Largest answer body kept for resends, in bytes; default 4096. */
  readonly answerLimit?: number;
  /** Test only: votes needed; a majority by default. */
  readonly votesNeeded?: (keepers: number) => number;
}

/** Claims that are held by keepers. */
export abstract class KeeperClaims extends Claims {
  abstract stop(): void;
}

const defaultVoteTimeout = 1000;
const defaultAnswerLimit = 4096;
/** Milliseconds between two tries in which keepers change over; doubled. */
const firstStalePause = 10;
const lastStalePause = 40;

/** Creates the gate's side of claims. */
export function createClaims(options: ClaimsOptions): KeeperClaims {
  const {timers} = options;
  const log = options.log.scope('claims');
  const peers = createKeeperClient(options.network, timers);
  /** Sets that keepers told of before the configuration did. */
  const learned = new Map<string, KeeperAssignment>();
  let lastClaim = 0;

  function learn(service: string, set: KeeperAssignment): void {
    const known = learned.get(service)?.epoch ?? 0;
    if (set.epoch > known) learned.set(service, set);
  }

  function assignmentOf(service: string): KeeperAssignment | undefined {
    const configured = options.assignment(service);
    const told = learned.get(service);
    if (configured === undefined || told === undefined) return configured;
    if (told.epoch > configured.epoch) return told;
    learned.delete(service);
    return configured;
  }

  const members = (service: string) => assignmentOf(service)?.members ?? [];
  const settler = createSettlementSender({keeperClient: peers, timers, members});
  const attempts: AttemptOptions = {
    keeperClient: peers,
    settlementSender: settler,
    timers,
    random: options.random,
    voteTimeout: options.voteTimeout ?? defaultVoteTimeout,
    answerLimit: options.answerLimit ?? defaultAnswerLimit,
    votesNeeded: options.votesNeeded ?? majorityOf,
    learnSet: learn,
  };

  function createCandidate(): Candidate {
    return {claim: `${options.self}/${++lastClaim}`, contacted: new Set()};
  }

  function attempt(request: ClaimRequest, candidate: Candidate): Promise<AttemptResult> {
    const assignment = assignmentOf(request.service);
    if (assignment === undefined || timers.now() >= request.deadline) {
      return Promise.resolve(giveUp(request, candidate));
    }
    return runAttempt(attempts, request, assignment, candidate);
  }

  function giveUp(request: ClaimRequest, {claim, contacted: asked}: Candidate): AttemptResult {
    const {service, key, fingerprint} = request;
    const settlement = {kind: 'released'} as const;
    const work = {service, key, fingerprint, claim};
    if (asked.size > 0) {
      settler.send({kind: 'settle', settlement, ...work}, [...asked]);
    }
    return refuse(claimCodes.keepersUnavailable);
  }

  async function acquire(request: ClaimRequest): Promise<Acquisition> {
    let candidate = createCandidate();
    let stalePause = firstStalePause;
    for (;;) {
      const step = await attempt(request, candidate);
      if (step.kind === 'end') return report(request, step.acquisition);
      const pause = step.kind === 'again' ? step.pause : stalePause;
      if (step.kind === 'again') candidate = createCandidate();
      else stalePause = Math.min(stalePause * 2, lastStalePause);
      await new Promise<void>(done => timers.after(pause, done));
    }
  }

  function report(
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
      peers.stop();
    }
  })();
}

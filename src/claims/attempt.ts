/**
 * One attempt to acquire a claim: collects the votes of one keeper set until
 * they decide, or until the claim that holds the key is settled.
 */
import type {Keeper, KeeperAssignment} from '../configuration/configuration.js';
import type {Random} from '../random/random.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {ClaimRequest} from './claims.js';
import {claimCodes} from './codes.js';
import type {Notice, Settlement} from './messages.js';
import type {KeeperResponse, KeeperClient} from './keeper-client.js';
import type {SettlementSender} from './settlement-sender.js';
import {endByVote, grant, refuse, refuseUnknown} from './attempt-result.js';
import type {AttemptResult} from './attempt-result.js';
import {countVotes} from './vote-count.js';
import type {Ballot, VoteOutcome} from './vote-count.js';

/** Options of `runAttempt`. */
export interface AttemptOptions {
  readonly keeperClient: KeeperClient;
  readonly settlementSender: SettlementSender;
  readonly timers: Timers;
  readonly random: Random;
  /** Time to wait for votes, in milliseconds. */
  readonly voteTimeout: number;
  /** Largest answer body kept for resends, in bytes. */
  readonly answerLimit: number;
  readonly votesNeeded: (keepers: number) => number;
  /** Called when a keeper reports a newer set than the one asked. */
  readonly learnSet: (service: string, set: KeeperAssignment) => void;
}

/** Milliseconds after the request's deadline until the claim expires. */
const leaseExtension = 2000;
/**
 * Milliseconds over which gates that compete for a key spread their retries.
 */
const maxRetryDelay = 20;
/** Seconds after which a full keeper may have removed some old claims. */
const fullRetryAfter = 5;

/** A claim that is being acquired, in one or more attempts. */
export interface Candidate {
  /** The claim's unique id; it is not reused after a release. */
  readonly claim: string;
  /** All keepers that were asked to vote on it, in any epoch. */
  readonly contacted: Set<Keeper>;
}

/** Asks the keepers of one set to vote on one claim. */
export function runAttempt(
  options: AttemptOptions,
  request: ClaimRequest,
  assignment: KeeperAssignment,
  {claim, contacted}: Candidate,
): Promise<AttemptResult> {
  const {keeperClient, settlementSender, timers, random} = options;
  const {service, key, fingerprint, deadline} = request;
  const {members, epoch} = assignment;
  const ballots: Array<Ballot | undefined> = members.map(() => undefined);
  const subscriptions: Subscription[] = [];
  let resolveResult: (result: AttemptResult) => void = () => {};
  let isWaitingForOther = false;
  let isDone = false;

  function settle(settlement: Settlement): void {
    const work = {service, key, fingerprint, claim};
    settlementSender.send({kind: 'settle', settlement, ...work}, [
      ...contacted,
    ]);
  }

  function finish(result: AttemptResult): void {
    isDone = true;
    for (const subscription of subscriptions) subscription.cancel();
    resolveResult(result);
  }

  function fail(result: AttemptResult): void {
    if (!isWaitingForOther) settle({kind: 'released'});
    finish(result);
  }

  function succeed(): void {
    // Votes can wait in the socket buffer while the process is suspended. After
    // the deadline the caller has gone and keepers may treat the claim as
    // expired.
    if (timers.now() >= deadline) {
      return fail(refuse(claimCodes.keepersUnavailable));
    }
    finish(grant(settle, options.answerLimit));
  }

  /**
   * Releases the votes, so that two competing claims do not block each other.
   */
  function waitForOther(): void {
    settle({kind: 'released'});
    isWaitingForOther = true;
  }

  function handleOutcome(outcome: VoteOutcome): void {
    if (isDone || (isWaitingForOther && outcome.kind !== 'found')) return;
    switch (outcome.kind) {
      case 'pending':
        return;
      case 'won':
        return succeed();
      case 'found':
        return fail(endByVote(outcome.vote));
      case 'wait':
        return waitForOther();
      case 'unknown':
        return fail(refuseUnknown());
      case 'lost':
        return fail(refuse(claimCodes.keepersLost, toSeconds(outcome.left)));
      case 'full':
        return fail(refuse(claimCodes.keepersFull, fullRetryAfter));
      case 'stale':
        // The votes are not released: keepers of the next epoch copy them, and
        // would refuse a retry under another id because of them.
        return finish({kind: 'stale'});
      case 'unavailable':
        return fail(refuse(claimCodes.keepersUnavailable));
    }
  }

  function evaluate(): void {
    handleOutcome(countVotes(ballots, options.votesNeeded(members.length)));
  }

  function handleNotice({settlement}: Notice): void {
    if (settlement.kind === 'answered' || settlement.kind === 'abandoned') {
      return fail(endByVote(settlement));
    }
    fail({kind: 'again', pause: random.integer(maxRetryDelay)});
  }

  function handleResponse(index: number, response: KeeperResponse): void {
    if (isDone) return;
    if (response.kind === 'notice') return handleNotice(response);
    if (response.kind === 'stale' && response.newer !== undefined) {
      options.learnSet(service, response.newer);
    }
    ballots[index] = toBallot(response);
    evaluate();
  }

  function stopWaitingForVotes(): void {
    if (isWaitingForOther) return;
    members.forEach((member, index) => {
      if (ballots[index] !== undefined) return;
      ballots[index] = {kind: 'unreachable'};
      keeperClient.drop(member);
    });
    evaluate();
  }

  function handleDeadline(): void {
    const isHeld = ballots.some(ballot => ballot?.kind === 'held');
    const code = isHeld ? claimCodes.inFlight : claimCodes.keepersUnavailable;
    fail(refuse(code));
  }

  function askMember(member: Keeper, index: number): void {
    contacted.add(member);
    const lease = deadline - timers.now() + leaseExtension;
    const work = {service, epoch, key, fingerprint, claim};
    const subscription = keeperClient.ask(
      member,
      {kind: 'acquire', lease, ...work},
      response => handleResponse(index, response),
    );
    subscriptions.push(subscription);
  }

  return new Promise(resolve => {
    resolveResult = resolve;
    subscriptions.push(
      timers.after(options.voteTimeout, stopWaitingForVotes),
      timers.after(deadline - timers.now(), handleDeadline),
    );
    members.forEach(askMember);
  });
}

function toSeconds(milliseconds: number): number {
  return Math.ceil(milliseconds / 1000);
}

function toBallot(response: KeeperResponse): Ballot {
  switch (response.kind) {
    case 'notice':
    case 'sealed':
    case 'standing':
    case 'settled':
    case 'stranger':
    case 'unreachable':
      return {kind: 'unreachable'};
    default:
      return response;
  }
}

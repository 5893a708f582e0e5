/** One claim's votes, until they decide or another claim is settled. */
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

/** What attempts are made of. */
export interface AttemptOptions {
  readonly keeperClient: KeeperClient;
  readonly settlementSender: SettlementSender;
  readonly timers: Timers;
  readonly random: Random;
  /** Milliseconds to wait for votes. */
  readonly voteTimeout: number;
  /** Largest answer body kept for resends, in bytes. */
  readonly answerLimit: number;
  readonly votesNeeded: (keepers: number) => number;
  /** A keeper told of a set that follows the one asked. */
  readonly learnSet: (service: string, set: KeeperAssignment) => void;
}

/** Milliseconds after a gate's deadline until its claim counts as expired. */
const leaseGrace = 2000;
/** Milliseconds over which gates that met spread their next tries. */
const contestSpread = 20;
/** Seconds after which a full keeper may have forgotten some claims. */
const fullRetryAfter = 5;

/** A claim on its way through one or more attempts. */
export interface Candidate {
  /** Its own name, never used again once it was released. */
  readonly claim: string;
  /** Every keeper that was asked for it, in whatever epoch. */
  readonly contacted: Set<Keeper>;
}

/** Asks the keepers of one set for one claim. */
export function runAttempt(
  options: AttemptOptions,
  request: ClaimRequest,
  assignment: KeeperAssignment,
  {claim, contacted: asked}: Candidate,
): Promise<AttemptResult> {
  const {keeperClient: peers, settlementSender: settler, timers, random} = options;
  const {service, key, fingerprint, deadline} = request;
  const {members, epoch} = assignment;
  const ballots: Array<Ballot | undefined> = members.map(() => undefined);
  const subscriptions: Subscription[] = [];
  let end: (step: AttemptResult) => void = () => {};
  let isWaiting = false;
  let isDone = false;

  function settle(settlement: Settlement): void {
    const work = {service, key, fingerprint, claim};
    settler.send({kind: 'settle', settlement, ...work}, [...asked]);
  }

  function finish(step: AttemptResult): void {
    isDone = true;
    for (const subscription of subscriptions) subscription.cancel();
    end(step);
  }

  function lose(step: AttemptResult): void {
    if (!isWaiting) settle({kind: 'released'});
    finish(step);
  }

  function win(): void {
    // Votes may lie in the socket while the process stands still. Past the
    // deadline the caller is gone and the claim may count as expired.
    if (timers.now() >= deadline) {
      return lose(refuse(claimCodes.keepersUnavailable));
    }
    finish(grant(settle, options.answerLimit));
  }

  /** Gives its votes back, so that two that met do not block each other. */
  function waitForOther(): void {
    settle({kind: 'released'});
    isWaiting = true;
  }

  function act(verdict: VoteOutcome): void {
    if (isDone || (isWaiting && verdict.kind !== 'found')) return;
    switch (verdict.kind) {
      case 'pending':
        return;
      case 'won':
        return win();
      case 'found':
        return lose(endByVote(verdict.vote));
      case 'wait':
        return waitForOther();
      case 'unknown':
        return lose(refuseUnknown());
      case 'lost':
        return lose(refuse(claimCodes.keepersLost, toSeconds(verdict.left)));
      case 'full':
        return lose(refuse(claimCodes.keepersFull, fullRetryAfter));
      case 'stale':
        // The votes that it has stay its own: keepers of the next epoch copy
        // them, and would hold them against a claim of another name.
        return finish({kind: 'stale'});
      case 'unavailable':
        return lose(refuse(claimCodes.keepersUnavailable));
    }
  }

  function count(): void {
    act(countVotes(ballots, options.votesNeeded(members.length)));
  }

  function hearNotice({settlement}: Notice): void {
    if (settlement.kind === 'answered' || settlement.kind === 'abandoned') {
      return lose(endByVote(settlement));
    }
    lose({kind: 'again', pause: random.integer(contestSpread)});
  }

  function hear(index: number, hearing: KeeperResponse): void {
    if (isDone) return;
    if (hearing.kind === 'notice') return hearNotice(hearing);
    if (hearing.kind === 'stale' && hearing.newer !== undefined) {
      options.learnSet(service, hearing.newer);
    }
    ballots[index] = toBallot(hearing);
    count();
  }

  function giveUpVotes(): void {
    if (isWaiting) return;
    members.forEach((member, index) => {
      if (ballots[index] !== undefined) return;
      ballots[index] = {kind: 'unreachable'};
      peers.disconnect(member);
    });
    count();
  }

  function giveUp(): void {
    const isHeld = ballots.some(ballot => ballot?.kind === 'held');
    const code = isHeld ? claimCodes.inFlight : claimCodes.keepersUnavailable;
    lose(refuse(code));
  }

  function ask(member: Keeper, index: number): void {
    asked.add(member);
    const lease = deadline - timers.now() + leaseGrace;
    const work = {service, epoch, key, fingerprint, claim};
    const asking = peers.ask(
      member,
      {kind: 'acquire', lease, ...work},
      hearing => hear(index, hearing),
    );
    subscriptions.push(asking);
  }

  return new Promise(resolve => {
    end = resolve;
    subscriptions.push(
      timers.after(options.voteTimeout, giveUpVotes),
      timers.after(deadline - timers.now(), giveUp),
    );
    members.forEach(ask);
  });
}

function toSeconds(milliseconds: number): number {
  return Math.ceil(milliseconds / 1000);
}

function toBallot(hearing: KeeperResponse): Ballot {
  switch (hearing.kind) {
    case 'notice':
    case 'sealed':
    case 'standing':
    case 'settled':
    case 'stranger':
    case 'unreachable':
      return {kind: 'unreachable'};
    default:
      return hearing;
  }
}

/** The gate's side of claims: asks a service's keepers, a majority decides. */
import type {Keeper, KeeperAssignment} from '../configuration/configuration.js';
import type {Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Code} from '../result/code.js';
import type {Subscription, Timers} from '../time/timers.js';
import {Claims} from './claims.js';
import type {Acquisition, Claim, ClaimRequest, StoredAnswer} from './claims.js';
import {claimCodes} from './codes.js';
import type {Notice, Settle, Settlement, Vote} from './messages.js';
import {createKeeperPeers} from './peers.js';
import type {Hearing} from './peers.js';
import {judge, majorityOf} from './verdict.js';
import type {Ballot, Verdict} from './verdict.js';

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

/** Claims that also tell what they did. */
export abstract class KeeperClaims extends Claims {
  abstract stop(): void;
}

type Step =
  | {readonly kind: 'end'; readonly acquisition: Acquisition}
  | {readonly kind: 'again'; readonly pause: number};

const defaultVoteTimeout = 1000;
const defaultAnswerLimit = 4096;
/** Milliseconds after a gate's deadline until its claim counts as expired. */
const leaseGrace = 2000;
/** Milliseconds between two tries in which keepers change over. */
const stalePause = 20;
/** Milliseconds over which gates that met spread their next tries. */
const contestSpread = 20;
/** Milliseconds until a settlement is told again; doubled at each try. */
const settleFirstPause = 1000;
const settleLastPause = 32_000;

/** Creates the gate's side of claims. */
export function createClaims(options: ClaimsOptions): KeeperClaims {
  const {timers, random} = options;
  const log = options.log.scope('claims');
  const voteTimeout = options.voteTimeout ?? defaultVoteTimeout;
  const answerLimit = options.answerLimit ?? defaultAnswerLimit;
  const votesNeeded = options.votesNeeded ?? majorityOf;
  const peers = createKeeperPeers(options.network, timers);
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

  /** Tells each keeper until it took it, whatever set is in force by then. */
  function settleAll(settle: Settle, asked: readonly Keeper[]): void {
    const done = new Set<string>();
    const nameOf = (keeper: Keeper) =>
      `${keeper.instance}/${keeper.incarnation}`;

    function tell(keeper: Keeper): void {
      const asking = peers.ask(keeper, settle, hearing => {
        asking.cancel();
        if (hearing.kind === 'settled' || hearing.kind === 'stranger') {
          done.add(nameOf(keeper));
        }
      });
    }

    function round(pause: number): void {
      const current = assignmentOf(settle.service)?.members ?? [];
      const all = new Map<string, Keeper>();
      for (const keeper of [...asked, ...current]) {
        if (!done.has(nameOf(keeper))) all.set(nameOf(keeper), keeper);
      }
      if (all.size === 0 || pause > settleLastPause) return;
      for (const keeper of all.values()) tell(keeper);
      timers.after(pause, () => round(pause * 2));
    }

    round(settleFirstPause);
  }

  /** One claim's votes, until they decide or another claim is settled. */
  function run(
    request: ClaimRequest,
    assignment: KeeperAssignment,
  ): Promise<Step> {
    const {service, key, fingerprint, deadline} = request;
    const {members, epoch} = assignment;
    const claim = `${options.self}/${++lastClaim}`;
    const ballots: Array<Ballot | undefined> = members.map(() => undefined);
    const subscriptions: Subscription[] = [];
    let isReleased = false;
    let isWaiting = false;
    let isDone = false;

    const settle = (settlement: Settlement) =>
      settleAll(
        {kind: 'settle', service, key, fingerprint, claim, settlement},
        [...members],
      );

    function release(): void {
      if (!isReleased) settle({kind: 'released'});
      isReleased = true;
    }

    return new Promise(resolve => {
      function finish(step: Step): void {
        isDone = true;
        for (const subscription of subscriptions) subscription.cancel();
        resolve(step);
      }

      function lose(step: Step): void {
        release();
        finish(step);
      }

      function win(): void {
        // Votes may lie in the socket while the process stands still. Past
        // the deadline the caller is gone and the claim may count as expired.
        if (timers.now() >= deadline) {
          return lose(refuse(claimCodes.keepersUnavailable));
        }
        finish(grant(settle, answerLimit));
      }

      function waitForOther(): void {
        // Its own votes go back at once, so that two claims that met do not
        // keep each other from a majority.
        release();
        isWaiting = true;
      }

      function act(verdict: Verdict): void {
        if (isWaiting && verdict.kind !== 'found') return;
        switch (verdict.kind) {
          case 'pending':
            return;
          case 'won':
            return win();
          case 'found':
            return lose(fromVote(verdict.vote));
          case 'wait':
            return waitForOther();
          case 'unknown':
            return lose(refuse(claimCodes.outcomeUnknown, 60));
          case 'lost':
            return lose(
              refuse(claimCodes.keepersLost, Math.ceil(verdict.left / 1000)),
            );
          case 'full':
            return lose(refuse(claimCodes.keepersFull, 5));
          case 'stale':
            return lose({kind: 'again', pause: stalePause});
          case 'unavailable':
            return lose(refuse(claimCodes.keepersUnavailable));
        }
      }

      function hearNotice({settlement}: Notice): void {
        if (settlement.kind === 'answered' || settlement.kind === 'abandoned') {
          return lose(fromVote(settlement));
        }
        const pause = random.integer(contestSpread);
        lose({kind: 'again', pause});
      }

      function hear(index: number, hearing: Hearing): void {
        if (isDone) return;
        if (hearing.kind === 'notice') return hearNotice(hearing);
        if (hearing.kind === 'stale' && hearing.newer !== undefined) {
          learn(service, hearing.newer);
        }
        ballots[index] = toBallot(hearing);
        act(judge(ballots, votesNeeded(members.length)));
      }

      function giveUpVotes(): void {
        if (isWaiting) return;
        members.forEach((member, index) => {
          if (ballots[index] !== undefined) return;
          peers.drop(member);
          ballots[index] = {kind: 'unreachable'};
        });
        act(judge(ballots, votesNeeded(members.length)));
      }

      function leave(): void {
        const isHeld = ballots.some(ballot => ballot?.kind === 'held');
        const code = isHeld
          ? claimCodes.inFlight
          : claimCodes.keepersUnavailable;
        lose(refuse(code));
      }

      const left = deadline - timers.now();
      const lease = left + leaseGrace;
      subscriptions.push(timers.after(voteTimeout, giveUpVotes));
      subscriptions.push(timers.after(left, leave));
      members.forEach((member, index) => {
        const asking = peers.ask(
          member,
          {kind: 'acquire', service, epoch, key, fingerprint, claim, lease},
          hearing => hear(index, hearing),
        );
        subscriptions.push(asking);
      });
    });
  }

  async function acquire(request: ClaimRequest): Promise<Acquisition> {
    const {service, deadline} = request;
    for (;;) {
      const assignment = assignmentOf(service);
      if (assignment === undefined || timers.now() >= deadline) {
        return refuse(claimCodes.keepersUnavailable).acquisition;
      }
      const step = await run(request, assignment);
      if (step.kind === 'end') {
        const {acquisition} = step;
        if (acquisition.kind === 'refused') {
          log.debug('claim refused', {service, code: acquisition.code.number});
        }
        return acquisition;
      }
      await new Promise<void>(done => timers.after(step.pause, done));
    }
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

function toBallot(hearing: Hearing): Ballot {
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

/** The right to run, whose end is told to the keepers. */
function grant(
  settle: (settlement: Settlement) => void,
  answerLimit: number,
): Step {
  let isSettled = false;
  const once = (settlement: Settlement) => {
    if (!isSettled) settle(settlement);
    isSettled = true;
  };
  const claim: Claim = {
    release: () => once({kind: 'released'}),
    abandon: () => once({kind: 'abandoned'}),
    complete: (answer: StoredAnswer) => {
      const isKept = answer.body.length <= answerLimit;
      once(isKept ? {kind: 'answered', answer} : {kind: 'answered'});
    },
  };
  return {kind: 'end', acquisition: {kind: 'granted', claim}};
}

function fromVote(vote: Vote): Step {
  if (vote.kind === 'key-reused') return refuse(claimCodes.keyReused, 0);
  if (vote.kind !== 'answered') return refuse(claimCodes.outcomeUnknown, 60);
  const {answer} = vote;
  if (answer === undefined) return refuse(claimCodes.answerNotKept, 60);
  return {kind: 'end', acquisition: {kind: 'answered', answer}};
}

function refuse(
  code: Code,
  retryAfter = 1,
): Extract<Step, {kind: 'end'}> & {
  acquisition: Extract<Acquisition, {kind: 'refused'}>;
} {
  const {meaning: message} = code;
  return {
    kind: 'end',
    acquisition: {kind: 'refused', code, message, retryAfter},
  };
}

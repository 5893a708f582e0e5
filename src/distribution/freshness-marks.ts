/** How fresh a home's state and the own one are, learnt from pings. */
import type {Ping, Pong} from '../fleet/messages.js';
import type {Clock} from '../time/clock.js';
import {freshnessMarkOf} from './freshness-mark.js';
import type {FreshnessMark} from './freshness-mark.js';

/** The marks of the home that is attached. */
export interface FreshnessMarks {
  /** Forgets what the home before told of itself, for the first mark of another. */
  reset(first: FreshnessMark): void;
  /** The next ping. */
  ping(): Ping;
  /** The mark in the answer to a ping; undefined where none is due. */
  receive(pong: Pong): FreshnessMark | undefined;
  /** Takes a mark for the own state's too, where that is not behind it. */
  confirm(mark: FreshnessMark): void;
  /** `version` is in force here. */
  acknowledge(version: number): void;
  /** The last mark of this home; undefined before the first. */
  last(): FreshnessMark | undefined;
  /** Local time at which the own state was confirmed; undefined before. */
  localAsOf(): number | undefined;
  /**
   * Whether a home said that its state was confirmed of late. Its own word
   * counts, as on a slow link each answer looks old by the time that it comes.
   */
  isFresh(mark: FreshnessMark): boolean;
  /** Whether the own state was confirmed of late. */
  isConfirmed(): boolean;
  /** Whether it has not been for long, or since this home is the present one. */
  isOverdue(): boolean;
  /**
   * Whether the home itself is at fault for an old state, compared with another
   * that has just answered: it has not answered a ping that was sent well
   * before the other's, it says itself that its state is old, or it has sent a
   * newer version that has not come. Where none holds, what is slow is the own
   * link or process, and no other home would be heard any sooner.
   */
  isWorseThan(other: FreshnessMark): boolean;
}

/** What marks are judged by; times in milliseconds. */
export interface FreshnessMarksOptions {
  readonly clock: Clock;
  /** Period of pings. */
  readonly heartbeat: number;
  /** Age of a confirmation at which a home is doubted. */
  readonly overdueAge: number;
}

/** Creates marks that nothing is known of. */
export function createFreshnessMarks(options: FreshnessMarksOptions): FreshnessMarks {
  const {clock, heartbeat, overdueAge: doubtAge} = options;
  /** When each unanswered ping was sent, by its number. */
  const pings = new Map<number, number>();
  let pingNumber = 0;
  let last: FreshnessMark | undefined;
  let ownAsOf: number | undefined;
  let version: number | undefined;
  let begunAt = clock.now();
  /** Since when the home has sent what has not come. */
  let behindSince: number | undefined;

  const isRecent = (asOf: number) => clock.now() - asOf <= doubtAge;

  function isSilent(other: FreshnessMark): boolean {
    const [unanswered] = pings.values();
    return (
      unanswered !== undefined && unanswered + heartbeat / 2 < other.askedAt
    );
  }

  function tellsFresh({asOf, askedAt}: FreshnessMark): boolean {
    return asOf !== undefined && askedAt - asOf <= doubtAge;
  }

  function isBehind(): boolean {
    return behindSince !== undefined && clock.now() - behindSince > doubtAge;
  }

  return {
    reset(first) {
      begunAt = clock.now();
      last = first;
      behindSince = undefined;
      pings.clear();
    },
    ping() {
      pings.set(++pingNumber, clock.now());
      return {
        kind: 'ping',
        number: pingNumber,
        ...(version !== undefined && {version}),
      };
    },
    receive(pong) {
      const sentAt = pings.get(pong.number);
      if (sentAt === undefined) return undefined;
      for (const number of pings.keys()) {
        if (number <= pong.number) pings.delete(number);
      }
      last = freshnessMarkOf(pong, sentAt);
      return last;
    },
    confirm(mark) {
      const isInStep = version !== undefined && version >= (mark.version ?? 0);
      if (isInStep) ownAsOf = mark.asOf ?? ownAsOf;
      const isMissing = version !== undefined && !isInStep;
      behindSince = isMissing ? (behindSince ?? clock.now()) : undefined;
    },
    acknowledge(next) {
      version = next;
    },
    last: () => last,
    localAsOf: () => ownAsOf,
    isFresh: tellsFresh,
    isConfirmed: () => ownAsOf !== undefined && isRecent(ownAsOf),
    isOverdue: () => !isRecent(Math.max(ownAsOf ?? begunAt, begunAt)),
    isWorseThan(other) {
      const isAtFault = last === undefined || !tellsFresh(last) || isBehind();
      return isAtFault || isSilent(other);
    },
  };
}

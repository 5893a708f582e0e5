import type {Ping, Pong} from '../fleet/messages.js';
import type {Clock} from '../time/clock.js';
import {currentMoment, elapsedSince} from '../time/moment.js';
import type {Moment} from '../time/moment.js';
import {freshnessMarkOf} from './freshness-mark.js';
import type {FreshnessMark} from './freshness-mark.js';

/**
 * Tracks the freshness of the attached home and of the local state, derived from
 * pings.
 */
export interface FreshnessMarks {
  /**
   * Discards what is known of the previous home and starts with the first mark
   * of another.
   */
  begin(first: FreshnessMark): void;
  /** Returns the next ping to send. */
  ping(): Ping;
  /**
   * Returns the mark in an answer; undefined if no ping with its number is
   * outstanding.
   */
  receive(pong: Pong): FreshnessMark | undefined;
  /**
   * Applies a mark to the local state too, provided that the version of the
   * home is in force here.
   */
  confirm(mark: FreshnessMark): void;
  /** Records the version that is in force locally. */
  acknowledge(version: number): void;
  /** The last mark of this home; undefined before the first. */
  last(): FreshnessMark | undefined;
  /**
   * Local time at which the local state was last confirmed; undefined before.
   */
  localAsOf(): number | undefined;
  /**
   * The last moment of which it is known that the local state contained every
   * accepted change; undefined before. Unlike `localAsOf` it does not go back
   * when another home knows less.
   */
  confirmedAt(): Moment | undefined;
  /**
   * Whether the state of a home had been confirmed recently when its ping was
   * sent. The age that the home reports counts, since on a slow link every
   * answer would look old on arrival.
   */
  isFresh(mark: FreshnessMark): boolean;
  /** Whether the local state was confirmed recently. */
  isConfirmed(): boolean;
  /**
   * Whether the last confirmation of the local state is overdue; the time
   * before the present home was attached does not count.
   */
  isOverdue(): boolean;
  /**
   * Whether the home has published a newer version that has not arrived for too
   * long.
   */
  isBehind(): boolean;
  /**
   * Whether the attached home has a fresh state that has not arrived for too
   * long, so that the cause may be this process.
   */
  isUndelivered(): boolean;
  /**
   * Whether the attached home is the cause of an outdated local state, compared
   * with another home that has just answered: it has not answered a ping that
   * was sent well before the ping of the other, it reports that its own state
   * is old, or it has published a newer version that has not arrived. If none
   * of these holds, the local link or process is slow, and another home would
   * not be reached any faster.
   */
  isWorseThan(other: FreshnessMark): boolean;
}

/** Options of createFreshnessMarks; times in milliseconds. */
export interface FreshnessMarksOptions {
  readonly clock: Clock;
  /** Period of pings. */
  readonly heartbeat: number;
  /** Age at which the confirmation of the local state is overdue. */
  readonly overdueAge: number;
}

/** Creates the marks of a process that has no home yet. */
export function createFreshnessMarks(
  options: FreshnessMarksOptions,
): FreshnessMarks {
  const {clock, heartbeat, overdueAge} = options;
  /** Send time of each unanswered ping, by its number. */
  const pings = new Map<number, Moment>();
  let pingNumber = 0;
  let last: FreshnessMark | undefined;
  let localAsOf: number | undefined;
  let confirmedAt: Moment | undefined;
  let version: number | undefined;
  let attachedAt = clock.now();
  /** Since when the home has had a version that has not arrived here. */
  let behindSince: number | undefined;

  const isRecent = (asOf: number) => clock.now() - asOf <= overdueAge;

  function isUnresponsive(other: FreshnessMark): boolean {
    const [unanswered] = pings.values();
    return (
      unanswered !== undefined &&
      unanswered.steady + heartbeat / 2 < other.askedAt
    );
  }

  function isFresh({asOf, askedAt}: FreshnessMark): boolean {
    return asOf !== undefined && askedAt - asOf <= overdueAge;
  }

  function isBehind(): boolean {
    return behindSince !== undefined && clock.now() - behindSince > overdueAge;
  }

  function confirmMoment(moment: Moment): void {
    const isNewer =
      confirmedAt === undefined ||
      elapsedSince(moment, clock) < elapsedSince(confirmedAt, clock);
    if (isNewer) confirmedAt = moment;
  }

  return {
    begin(first) {
      attachedAt = clock.now();
      last = first;
      behindSince = undefined;
      pings.clear();
    },
    ping() {
      pings.set(++pingNumber, currentMoment(clock));
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
      const isSynchronized =
        version !== undefined && version >= (mark.version ?? 0);
      if (isSynchronized) {
        localAsOf = mark.asOf ?? localAsOf;
        // A home that has published nothing yet says nothing about this state.
        if (mark.confirmedAt !== undefined && mark.version !== undefined) {
          confirmMoment(mark.confirmedAt);
        }
      }
      const isHomeAhead = version !== undefined && !isSynchronized;
      behindSince = isHomeAhead ? (behindSince ?? clock.now()) : undefined;
    },
    acknowledge(next) {
      version = next;
    },
    last: () => last,
    localAsOf: () => localAsOf,
    confirmedAt: () => confirmedAt,
    isFresh,
    isConfirmed: () => localAsOf !== undefined && isRecent(localAsOf),
    isBehind,
    isUndelivered: () => last !== undefined && isFresh(last) && isBehind(),
    isOverdue: () => !isRecent(Math.max(localAsOf ?? attachedAt, attachedAt)),
    isWorseThan(other) {
      const isStale = last === undefined || !isFresh(last) || isBehind();
      return isStale || isUnresponsive(other);
    },
  };
}

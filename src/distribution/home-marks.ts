/** How fresh a home's state and the own one are, learnt from pings. */
import type {Ping, Pong} from '../fleet/messages.js';
import type {Clock} from '../time/clock.js';
import {markOf} from './mark.js';
import type {Mark} from './mark.js';

/** The marks of the home that is attached. */
export interface HomeMarks {
  /** Forgets what the home before told of itself, for the first mark of another. */
  begin(first: Mark): void;
  /** The next ping. */
  ping(): Ping;
  /** The mark in the answer to a ping; undefined where none is due. */
  receive(pong: Pong): Mark | undefined;
  /** Takes a mark for the own state's too, where that is not behind it. */
  confirm(mark: Mark): void;
  /** `version` is in force here. */
  acknowledge(version: number): void;
  /** The last mark of this home; undefined before the first. */
  last(): Mark | undefined;
  /** Local time at which the own state was confirmed; undefined before. */
  ownAsOf(): number | undefined;
}

/** Creates marks that nothing is known of. */
export function createHomeMarks(clock: Clock): HomeMarks {
  /** When each unanswered ping was sent, by its number. */
  const pings = new Map<number, number>();
  let pingNumber = 0;
  let last: Mark | undefined;
  let ownAsOf: number | undefined;
  let version: number | undefined;

  return {
    begin(first) {
      last = first;
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
      last = markOf(pong, sentAt);
      return last;
    },
    confirm(mark) {
      const isInStep = version !== undefined && version >= (mark.version ?? 0);
      if (isInStep) ownAsOf = mark.asOf ?? ownAsOf;
    },
    acknowledge(next) {
      version = next;
    },
    last: () => last,
    ownAsOf: () => ownAsOf,
  };
}

/** Which of its homes a process tries next. */
import type {HomeAddress} from '../fleet/messages.js';
import type {Address} from '../link/link.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {createKnownHomes} from './known-homes.js';
import type {KnownHomes} from './known-homes.js';
import {distributionLimits as limits} from './limits.js';
import type {Place} from './rendezvous.js';

/** Options of `createHomeChoice`. */
export interface HomeChoiceOptions {
  readonly self: Place;
  readonly homes: readonly HomeAddress[];
  readonly clock: Clock;
  readonly random: Random;
}

/** The homes of a process, and those under suspicion. */
export interface HomeChoice extends Pick<KnownHomes, 'configure' | 'learn'> {
  /** The nearest home without suspicion, else the one longest out of it. */
  choose(): HomeAddress;
  /** Whether another home than this one is without suspicion. */
  hasOther(home: HomeAddress): boolean;
  isNearer(home: HomeAddress, than: HomeAddress): boolean;
  /** A home failed; it is tried after all others for a while. */
  suspect(home: HomeAddress): void;
  /** A home was left since its mark was old. */
  foundOld(): void;
  /** A home has shown a fresh mark. */
  trust(home: HomeAddress): void;
}

/** Creates a choice that suspects none of its homes. */
export function createHomeChoice(options: HomeChoiceOptions): HomeChoice {
  const {clock, random} = options;
  const known = createKnownHomes(options.self, options.homes);
  const suspectUntil = new Map<Address, number>();
  /** Homes left in a row since their marks were old. */
  let oldMarks = 0;

  const until = (home: HomeAddress) => suspectUntil.get(home.address) ?? 0;
  const isSuspect = (home: HomeAddress) => until(home) > clock.now();

  return {
    configure: known.configure,
    learn: known.learn,
    choose() {
      const trusted = known.list().find(home => !isSuspect(home));
      if (trusted !== undefined) return trusted;
      return known
        .list()
        .reduce((best, home) => (until(home) < until(best) ? home : best));
    },
    hasOther: ({address}) =>
      known.list().some(home => home.address !== address && !isSuspect(home)),
    isNearer: (home, than) => known.rankOf(home) < known.rankOf(than),
    /**
     * Grows while no home shows a fresh mark: in a region without a quorum all
     * are old, and nodes that went round them would only load them.
     */
    suspect(home) {
      const doubled = 2 ** Math.min(oldMarks, limits.suspicionDoublings);
      const duration = limits.suspicion * doubled * (0.5 + random.fraction());
      suspectUntil.set(home.address, clock.now() + duration);
    },
    foundOld: () => void oldMarks++,
    trust(home) {
      oldMarks = 0;
      suspectUntil.delete(home.address);
    },
  };
}

/** Which of its homes a process tries next. */
import type {HomeAddress} from '../fleet/messages.js';
import type {Address} from '../link/link.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {createKnownHomes} from './known-homes.js';
import type {KnownHomes} from './known-homes.js';
import {distributionLimits as limits} from './limits.js';
import type {Locality} from './rendezvous.js';

/** Options of `createHomeChoice`. */
export interface HomeSelectorOptions {
  readonly self: Locality;
  readonly homes: readonly HomeAddress[];
  readonly clock: Clock;
  readonly random: Random;
}

/** The homes of a process, and those under suspicion. */
export interface HomeSelector extends Pick<KnownHomes, 'configure' | 'learn'> {
  /** The homes without suspicion, the nearest first. */
  trusted(): HomeAddress[];
  /** All homes: those without suspicion, then those longest out of it. */
  ordered(): HomeAddress[];
  isNearer(home: HomeAddress, than: HomeAddress): boolean;
  /** A home failed; it is tried after all others for a while. */
  suspect(home: HomeAddress): void;
  /** A home was left since it did not confirm the own state. */
  countStale(): void;
  /** A home has confirmed the own state. */
  trust(home: HomeAddress): void;
}

/** Creates a choice that suspects none of its homes. */
export function createHomeSelector(options: HomeSelectorOptions): HomeSelector {
  const {clock, random} = options;
  const known = createKnownHomes(options.self, options.homes);
  const suspectUntil = new Map<Address, number>();
  /** Homes left in a row since they did not confirm the own state. */
  let oldMarks = 0;

  const until = (home: HomeAddress) => suspectUntil.get(home.address) ?? 0;
  const isSuspect = (home: HomeAddress) => until(home) > clock.now();
  const trusted = () => known.list().filter(home => !isSuspect(home));

  return {
    configure: known.configure,
    learn: known.learn,
    trusted,
    ordered() {
      const suspects = known.list().filter(isSuspect);
      suspects.sort((left, right) => until(left) - until(right));
      return [...trusted(), ...suspects];
    },
    isNearer: (home, than) => known.rankOf(home) < known.rankOf(than),
    /**
     * Grows while no home confirms the own state, as for a node that can't read
     * what it is sent: going round its homes would only load them.
     */
    suspect(home) {
      const doubled = 2 ** Math.min(oldMarks, limits.suspicionDoublings);
      const duration = limits.suspicion * doubled * (0.5 + random.fraction());
      suspectUntil.set(home.address, clock.now() + duration);
    },
    countStale: () => void oldMarks++,
    trust(home) {
      oldMarks = 0;
      suspectUntil.delete(home.address);
    },
  };
}

/** Selects the home that a process tries next. */
import type {HomeAddress} from '../fleet/messages.js';
import type {Address} from '../link/link.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {createKnownHomes} from './known-homes.js';
import type {KnownHomes} from './known-homes.js';
import {distributionLimits as limits} from './limits.js';
import type {Locality} from './rendezvous.js';

/** Options of createHomeSelector. */
export interface HomeSelectorOptions {
  readonly self: Locality;
  readonly homes: readonly HomeAddress[];
  readonly clock: Clock;
  readonly random: Random;
}

/**
 * The homes of a process in order of preference, with a failure suspicion for
 * each.
 */
export interface HomeSelector extends Pick<KnownHomes, 'configure' | 'learn'> {
  /** Homes that are not suspected, nearest first. */
  trusted(): HomeAddress[];
  /**
   * All homes: those not suspected, nearest first, then the suspected ones,
   * whose suspicion ends soonest first.
   */
  ordered(): HomeAddress[];
  isNearer(home: HomeAddress, than: HomeAddress): boolean;
  /** Records a failure of a home; for a while it is tried after all others. */
  suspect(home: HomeAddress): void;
  /**
   * Records that a home was left because it did not confirm the local state.
   */
  countStale(): void;
  /** Records that a home has confirmed the local state. */
  trust(home: HomeAddress): void;
}

/** Creates a selector without suspected homes. */
export function createHomeSelector(options: HomeSelectorOptions): HomeSelector {
  const {clock, random} = options;
  const knownHomes = createKnownHomes(options.self, options.homes);
  const suspicionEnds = new Map<Address, number>();
  /**
   * Number of homes left in a row because they did not confirm the local state.
   */
  let staleHomes = 0;

  const suspectedUntil = (home: HomeAddress) =>
    suspicionEnds.get(home.address) ?? 0;
  const isSuspected = (home: HomeAddress) => suspectedUntil(home) > clock.now();
  const trusted = () => knownHomes.list().filter(home => !isSuspected(home));

  return {
    configure: knownHomes.configure,
    learn: knownHomes.learn,
    trusted,
    ordered() {
      const suspects = knownHomes.list().filter(isSuspected);
      suspects.sort(
        (left, right) => suspectedUntil(left) - suspectedUntil(right),
      );
      return [...trusted(), ...suspects];
    },
    isNearer: (home, than) => knownHomes.rankOf(home) < knownHomes.rankOf(than),
    /**
     * The suspicion grows longer while no home confirms the local state, as
     * with a node that cannot read what it receives: trying all homes in turn
     * would only load them.
     */
    suspect(home) {
      const factor = 2 ** Math.min(staleHomes, limits.maxSuspicionDoublings);
      const duration =
        limits.suspicionPeriod * factor * (0.5 + random.fraction());
      suspicionEnds.set(home.address, clock.now() + duration);
    },
    countStale: () => void staleHomes++,
    trust(home) {
      staleHomes = 0;
      suspicionEnds.delete(home.address);
    },
  };
}

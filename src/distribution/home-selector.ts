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
   * Homes that may deliver a state that the attached one does not: all except
   * those whose state was not received, in the same order as `ordered`. A home
   * that failed is among them, since it may have been restarted in the meantime.
   */
  alternatives(): HomeAddress[];
  /**
   * All homes: those not suspected, nearest first, then the suspected ones,
   * whose suspicion ends soonest first.
   */
  ordered(): HomeAddress[];
  isNearer(home: HomeAddress, than: HomeAddress): boolean;
  /** Records a failure of a home; for a while it is tried after all others. */
  suspect(home: HomeAddress): void;
  /**
   * Records that a home was left because the state that it had published was
   * not received. A fresh state is no evidence against this suspicion: the
   * cause may be this process, and it would try all homes in turn.
   */
  suspectUndelivered(home: HomeAddress): void;
  /** Records that a home has confirmed the local state. */
  trust(home: HomeAddress): void;
}

/** A home that failed, or whose state was not received. */
interface Suspicion {
  /** Local time at which it ends. */
  readonly endsAt: number;
  readonly isUndelivered: boolean;
}

/** Creates a selector without suspected homes. */
export function createHomeSelector(options: HomeSelectorOptions): HomeSelector {
  const {clock, random} = options;
  const knownHomes = createKnownHomes(options.self, options.homes);
  const suspicions = new Map<Address, Suspicion>();
  /** Number of homes left in a row because their state was not received. */
  let undeliveredInRow = 0;

  const suspectedUntil = ({address}: HomeAddress) =>
    suspicions.get(address)?.endsAt ?? 0;
  const isSuspected = (home: HomeAddress) => suspectedUntil(home) > clock.now();
  const isExcluded = (home: HomeAddress) =>
    isSuspected(home) && suspicions.get(home.address)!.isUndelivered;
  const trusted = () => knownHomes.list().filter(home => !isSuspected(home));

  function ordered(): HomeAddress[] {
    const suspects = knownHomes.list().filter(isSuspected);
    suspects.sort(
      (left, right) => suspectedUntil(left) - suspectedUntil(right),
    );
    return [...trusted(), ...suspects];
  }

  /**
   * The suspicion grows longer while no home confirms the local state, as with a
   * node that cannot read what it receives: trying all homes in turn would only
   * load them.
   */
  function suspect({address}: HomeAddress, isUndelivered: boolean): void {
    const doublings = Math.min(undeliveredInRow, limits.maxSuspicionDoublings);
    const duration =
      limits.suspicionPeriod * 2 ** doublings * (0.5 + random.fraction());
    suspicions.set(address, {endsAt: clock.now() + duration, isUndelivered});
  }

  return {
    configure: knownHomes.configure,
    learn: knownHomes.learn,
    trusted,
    ordered,
    alternatives: () => ordered().filter(home => !isExcluded(home)),
    isNearer: (home, than) => knownHomes.rankOf(home) < knownHomes.rankOf(than),
    suspect: home => suspect(home, false),
    suspectUndelivered(home) {
      suspect(home, true);
      undeliveredInRow++;
    },
    trust(home) {
      undeliveredInRow = 0;
      suspicions.delete(home.address);
    },
  };
}

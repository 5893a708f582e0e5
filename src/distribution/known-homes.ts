import type {HomeAddress} from '../fleet/messages.js';
import {rankHomes} from './rendezvous.js';
import type {Place} from './rendezvous.js';

/** The homes that a process may go to, in its order of preference. */
export interface KnownHomes {
  list(): readonly HomeAddress[];
  /** The place of a home in the list; behind the last when it left. */
  rankOf(home: HomeAddress): number;
  /** Takes what a home tells of the homes that there are now. */
  learn(homes: readonly HomeAddress[]): void;
}

/**
 * Creates the known homes: those of the settings, then those learned. Control
 * VMs are replaced over the months; a process that went by its settings alone
 * would be without a home once all of them were, and keep its last version.
 * Settings come first, so that what is learned moves nobody.
 */
export function createKnownHomes(
  self: Place,
  configured: readonly HomeAddress[],
): KnownHomes {
  const own = rankHomes(self, configured);
  let ranked = own;
  return {
    list: () => ranked,
    rankOf({address}) {
      const at = ranked.findIndex(home => home.address === address);
      return at < 0 ? ranked.length : at;
    },
    learn(homes) {
      const isNew = ({address}: HomeAddress) =>
        own.every(home => home.address !== address);
      ranked = [...own, ...rankHomes(self, homes.filter(isNew))];
    },
  };
}

import murmurhash from 'murmurhash';
import type {HomeAddress} from '../fleet/messages.js';

/** The location of a process, for finding nearby homes. */
export interface Locality {
  readonly name: string;
  readonly failureDomain: string;
  readonly region: string;
}

/**
 * Orders homes for one process: those of its failure domain, then those of its
 * region, then the others; each group by rendezvous hashing. When a home is
 * lost, its nodes spread evenly over the remaining homes and no other node
 * moves.
 */
export function rankHomes(
  locality: Locality,
  homes: readonly HomeAddress[],
): HomeAddress[] {
  const scored = homes.map(home => ({
    home,
    distance: distanceTo(locality, home),
    score: murmurhash.v3(`${locality.name} ${home.address}`),
  }));
  scored.sort(
    (left, right) => left.distance - right.distance || right.score - left.score,
  );
  return scored.map(entry => entry.home);
}

function distanceTo(locality: Locality, home: HomeAddress): number {
  if (home.failureDomain === locality.failureDomain) return 0;
  if (home.region === locality.region) return 1;
  return 2;
}

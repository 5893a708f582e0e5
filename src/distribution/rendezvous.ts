import murmurhash from 'murmurhash';
import type {HomeAddress} from '../fleet/messages.js';

/** Where a process stands, to find what is near. */
export interface Locality {
  readonly name: string;
  readonly failureDomain: string;
  readonly region: string;
}

/**
 * Orders homes for one process: own failure domain, own region, the rest;
 * inside each by rendezvous hash. When a home is lost its nodes spread evenly
 * over those that are left, and no other node moves.
 */
export function rankHomes(
  place: Locality,
  homes: readonly HomeAddress[],
): HomeAddress[] {
  const scored = homes.map(home => ({
    home,
    distance: distanceTo(place, home),
    score: murmurhash.v3(`${place.name} ${home.address}`),
  }));
  scored.sort(
    (left, right) => left.distance - right.distance || right.score - left.score,
  );
  return scored.map(entry => entry.home);
}

function distanceTo(place: Locality, home: HomeAddress): number {
  if (home.failureDomain === place.failureDomain) return 0;
  if (home.region === place.region) return 1;
  return 2;
}

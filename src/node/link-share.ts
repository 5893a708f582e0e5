/** How much of its VM's link a node lets large bodies take. */
import {placesFor} from '../request/decisions/body-places.js';
import {bodyRateOf, createPace} from '../request/transport/pace.js';
import type {Pace} from '../request/transport/pace.js';
import type {NodeSettings} from '../settings/schema.js';
import type {Timers} from '../time/timers.js';

/** The share of large bodies, for all that a node receives. */
export interface LinkShare {
  /** How fast they are read together. */
  readonly pace: Pace;
  /** How many uploads the gate takes in at once. */
  readonly places: number;
}

/** Resolves the share; undefined where no setting tells the link's rate. */
export function resolveLinkShare(
  {linkRate}: Pick<NodeSettings, 'linkRate'>,
  timers: Timers,
): LinkShare | undefined {
  if (linkRate === undefined) return undefined;
  const rate = bodyRateOf(linkRate);
  return {pace: createPace(rate, timers), places: placesFor(rate)};
}

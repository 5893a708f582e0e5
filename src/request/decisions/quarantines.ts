/** Matches requests with the quarantines of the configuration in force. */
import type {
  Configuration,
  Quarantine,
} from '../../configuration/configuration.js';
import type {Call} from '../messages/call.js';
import {allSafeguards} from '../messages/safeguards.js';
import type {Safeguards} from '../messages/safeguards.js';
import {headDigest, requestDigest} from './request-digest.js';

/** The quarantines in force at a node. */
export interface Quarantines {
  /**
   * The quarantine of a request, whose body or first chunk must have arrived.
   */
  find(call: Call): Quarantine | undefined;
  /** Whether a request may be quarantined, judged by its head. */
  mayMatch(call: Call): boolean;
}

/** Creates the matcher; it finds no quarantine if the safeguard is disabled. */
export function createQuarantines(
  configuration: () => Configuration | undefined,
  {quarantine: isEnabled}: Pick<Safeguards, 'quarantine'> = allSafeguards,
): Quarantines {
  let current: ReadonlyMap<string, Quarantine> = new Map();
  let heads: ReadonlySet<string> = new Set();

  function inForce(): ReadonlyMap<string, Quarantine> | undefined {
    const quarantines = isEnabled ? configuration()?.quarantines : undefined;
    // Usually there is no quarantine, and no digest is needed.
    if (quarantines === undefined || quarantines.size === 0) return undefined;
    if (quarantines !== current) {
      current = quarantines;
      heads = new Set([...quarantines.values()].map(({head}) => head));
    }
    return quarantines;
  }

  return {
    find: call => {
      const quarantines = inForce();
      if (quarantines === undefined) return undefined;
      const head = headDigest(call);
      if (!heads.has(head)) return undefined;
      const name = requestDigest(head, call.body);
      return name === undefined ? undefined : quarantines.get(name);
    },
    mayMatch: call => inForce() !== undefined && heads.has(headDigest(call)),
  };
}

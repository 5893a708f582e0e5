/** Which requests are quarantined, by the configuration in force. */
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
  /** The one that a request is in; its body must have come, or its first part. */
  find(call: Call): Quarantine | undefined;
  /** Whether the request may be in one, as far as its head tells. */
  mayMatch(call: Call): boolean;
}

/** Sees the quarantines of the configuration in force; none for a test without. */
export function createQuarantines(
  configuration: () => Configuration | undefined,
  {quarantine: isOn}: Pick<Safeguards, 'quarantine'> = allSafeguards,
): Quarantines {
  let seen: ReadonlyMap<string, Quarantine> = new Map();
  let heads: ReadonlySet<string> = new Set();

  function inForce(): ReadonlyMap<string, Quarantine> | undefined {
    const quarantines = isOn ? configuration()?.quarantines : undefined;
    // Nearly always there is none, and no digest is made.
    if (quarantines === undefined || quarantines.size === 0) return undefined;
    if (quarantines !== seen) {
      seen = quarantines;
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

import {createChangeRing} from './change-ring.js';
import type {SectionSource, SectionState} from './section-source.js';
import {digestCovered} from './sync-plan.js';
import type {Session} from './session.js';

/** A distributor's view of its source. */
export interface StateView {
  /** The newest state; undefined before the first. */
  newest(): SectionState | undefined;
  /** Digest of what a session covers in the newest state. */
  digestFor(session: Session): string;
  /** Sections changed after a version, or undefined when it is too old. */
  changedSince(version: number): ReadonlySet<string> | undefined;
}

/** Creates a view that remembers `ringLength` states for deltas. */
export function createStateView(
  source: SectionSource,
  ringLength: number,
): StateView {
  const ring = createChangeRing(ringLength);
  let seen: SectionState | undefined;
  let digests = new Map<string, string>();

  function newest(): SectionState | undefined {
    const state = source.current();
    if (state === undefined || state === seen) return state;
    ring.advance(state);
    seen = state;
    digests = new Map();
    return state;
  }

  return {
    newest,
    digestFor(session) {
      const state = newest()!;
      const known = digests.get(session.key);
      if (known !== undefined) return known;
      const digest = digestCovered(state, session.services);
      digests.set(session.key, digest);
      return digest;
    },
    changedSince: version => ring.since(version),
  };
}

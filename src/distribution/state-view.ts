import {createChangeRing} from './change-ring.js';
import type {SectionSource, SectionState} from './section-source.js';
import {digestCovered} from './sync-plan.js';
import type {Session} from './session.js';

/** The states of a source as a distributor needs them. */
export interface StateView {
  /** The newest state; undefined before the first. */
  newest(): SectionState | undefined;
  /**
   * Returns the digest of the sections that a session covers in the newest
   * state.
   */
  digestFor(session: Session): string;
  /**
   * Returns the sections changed after a version, or undefined if it is too
   * old.
   */
  changedSince(version: number): ReadonlySet<string> | undefined;
}

/** Creates a view that keeps `ringLength` states for deltas. */
export function createStateView(
  source: SectionSource,
  ringLength: number,
): StateView {
  const ring = createChangeRing(ringLength);
  let lastState: SectionState | undefined;
  let digests = new Map<string, string>();

  function newest(): SectionState | undefined {
    const state = source.current();
    if (state === undefined || state === lastState) return state;
    ring.advance(state);
    lastState = state;
    digests = new Map();
    return state;
  }

  return {
    newest,
    digestFor(session) {
      const state = newest()!;
      const cached = digests.get(session.key);
      if (cached !== undefined) return cached;
      const digest = digestCovered(state, session.services);
      digests.set(session.key, digest);
      return digest;
    },
    changedSince: version => ring.since(version),
  };
}

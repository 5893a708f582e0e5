import type {Configuration} from '../configuration/configuration.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {distributionCodes} from './codes.js';
import {digestState} from './digest.js';
import type {Interest, Push, Section} from './messages.js';
import {joinSections, unpackSection} from './section.js';
import {sectionsOfService} from './section-name.js';
import {storeSection} from './section-source.js';
import type {StoredSection} from './section-source.js';
import {joinWorkspaces} from './workspace-join.js';

/** A section that a subscriber holds, packed and unpacked. */
export interface HeldSection extends StoredSection {
  readonly section: Section;
}

/** The state that a subscriber holds; never changed in place. */
export interface HeldState {
  readonly subscription: number;
  readonly version: number;
  readonly sections: ReadonlyMap<string, HeldSection>;
  readonly configuration: Configuration;
}

/** Test only: checks that reject a wrong state. */
export interface CandidateStateSafeguards {
  readonly digest: boolean;
  readonly references: boolean;
}

/**
 * Builds the state that results from a push, without touching the one in force.
 * If a push was lost, truncated or made for another base, the digest of the
 * result differs from the one in the push; the candidate is then discarded as a
 * whole and no part of it becomes visible.
 */
export function buildCandidateState(
  held: HeldState | undefined,
  push: Push,
  services: Interest,
  safeguards: CandidateStateSafeguards = {digest: true, references: true},
): Result<HeldState> {
  const {subscription, version} = push;
  if (push.digest === undefined) {
    return replaceVersion(held, push, safeguards.digest);
  }
  const sections = push.whole ? new Map() : selectCovered(held, services);
  for (const name of push.removed ?? []) sections.delete(name);
  for (const packed of push.sections ?? []) {
    const section = unpackSection(packed);
    if (!section.ok) return section;
    // Copies the bytes, since the received ones are a view that would retain
    // the whole frame.
    const bytes = new Uint8Array(packed.bytes);
    const stored = storeSection({name: packed.name, bytes});
    sections.set(packed.name, {...stored, section: section.value});
  }
  if (safeguards.digest && digestHeld(sections) !== push.digest) {
    return failure(
      distributionCodes.digestMismatch,
      `the digest of version ${version} differs from the one in its push`,
    );
  }
  const joined = joinSections(
    version,
    sectionsOf(sections),
    joinWorkspaces(held, sections),
    safeguards.references,
  );
  if (!joined.ok) return joined;
  return success({
    subscription,
    version,
    sections,
    configuration: joined.value,
  });
}

/** Returns the digest of a set of held sections. */
export function digestHeld(sections: ReadonlyMap<string, HeldSection>): string {
  const digests: Array<[string, string]> = [];
  for (const [name, {digest}] of sections) digests.push([name, digest]);
  return digestState(digests);
}

/** Returns the held sections that an interest covers. */
export function selectCovered(
  held: HeldState | undefined,
  services: Interest,
): Map<string, HeldSection> {
  if (held === undefined) return new Map();
  if (services === 'all') return new Map(held.sections);
  return new Map(
    services.flatMap(service => [...sectionsOfService(held.sections, service)]),
  );
}

/**
 * A push without sections applies to its base only. After a lost push it would
 * otherwise put the number of the new version on the sections of the old one.
 */
function replaceVersion(
  held: HeldState | undefined,
  push: Push,
  isChecked: boolean,
): Result<HeldState> {
  const {subscription, version, base} = push;
  const isBase = held?.subscription === subscription && held.version === base;
  if (held === undefined || (isChecked && !isBase)) {
    return failure(
      distributionCodes.digestMismatch,
      `the push of version ${version} has no sections and another base`,
    );
  }
  const configuration = {...held.configuration, version};
  return success({...held, version, configuration});
}

function* sectionsOf(
  sections: ReadonlyMap<string, HeldSection>,
): Generator<Section> {
  for (const {section} of sections.values()) yield section;
}

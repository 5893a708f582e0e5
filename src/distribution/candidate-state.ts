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

/** A section as a subscriber holds it. */
export interface HeldSection extends StoredSection {
  readonly section: Section;
}

/** A whole state as a subscriber holds it; never changed in place. */
export interface HeldState {
  readonly subscription: number;
  readonly version: number;
  readonly sections: ReadonlyMap<string, HeldSection>;
  readonly configuration: Configuration;
}

/** Test only: checks that keep a bad state out. */
export interface CandidateStateSafeguards {
  readonly digest: boolean;
  readonly references: boolean;
}

/**
 * Builds the state that a push leads to, beside the one in force. A delta that
 * was lost, cut or made for another base shows as another digest than the
 * push's: the candidate is then dropped whole, so nothing of it was ever seen.
 */
export function buildCandidateState(
  held: HeldState | undefined,
  push: Push,
  services: Interest,
  safeguards: CandidateStateSafeguards = {digest: true, references: true},
): Result<HeldState> {
  const {subscription, version} = push;
  if (push.digest === undefined) {
    return raiseVersion(held, push, safeguards.digest);
  }
  const sections = push.whole ? new Map() : selectCovered(held, services);
  for (const name of push.removed ?? []) sections.delete(name);
  for (const packed of push.sections ?? []) {
    const section = unpackSection(packed);
    if (!section.ok) return section;
    // A copy, as the received bytes are a view that would keep its whole frame.
    const bytes = new Uint8Array(packed.bytes);
    const stored = storeSection({name: packed.name, bytes});
    sections.set(packed.name, {...stored, section: section.value});
  }
  if (safeguards.digest && digestHeld(sections) !== push.digest) {
    return failure(
      distributionCodes.digestMismatch,
      `version ${version} does not have the digest it came with`,
    );
  }
  const joined = joinSections(
    version,
    sectionsOf(sections),
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

/** Digest of what is held of an interest. */
export function digestHeld(sections: ReadonlyMap<string, HeldSection>): string {
  const digests: Array<[string, string]> = [];
  for (const [name, {digest}] of sections) digests.push([name, digest]);
  return digestState(digests);
}

/** The held sections that an interest covers. */
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
 * A push without sections holds for its base only: after a lost push it would
 * put the new version's number on the old version's sections.
 */
function raiseVersion(
  held: HeldState | undefined,
  push: Push,
  isChecked: boolean,
): Result<HeldState> {
  const {subscription, version, base} = push;
  const isBase = held?.subscription === subscription && held.version === base;
  if (held === undefined || (isChecked && !isBase)) {
    return failure(
      distributionCodes.digestMismatch,
      `version ${version} came without sections, for another base`,
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

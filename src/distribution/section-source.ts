import type {Configuration} from '../configuration/configuration.js';
import {digestBytesOf} from './digest.js';
import type {PackedSection, Section} from './messages.js';
import {packSection, splitSections} from './section.js';
import {nextTurn} from '../time/turn.js';

/** A packed section with its digest. */
export interface StoredSection {
  readonly packed: PackedSection;
  readonly digest: string;
}

/** A whole state, divided into sections; never changed in place. */
export interface SectionState {
  readonly version: number;
  readonly sections: ReadonlyMap<string, StoredSection>;
}

/** Source of the states that a distributor sends. */
export interface SectionSource {
  /** The newest state, or undefined before the first. */
  current(): SectionState | undefined;
  /** Calls `observe` after each newer state. */
  onChange(observe: () => void): void;
}

/** A changing configuration, as in the state machine of the control group. */
export interface ConfigurationSource {
  current(): Configuration;
  onChange(observe: () => void): void;
}

/** Returns a packed section with its digest. */
export function storeSection(packed: PackedSection): StoredSection {
  return {packed, digest: digestBytesOf(packed.bytes)};
}

/**
 * Creates a source that divides a configuration into sections and packs only
 * those that changed.
 */
export function createSectionSource(
  configurations: ConfigurationSource,
): SectionSource {
  let splitConfiguration: Configuration | undefined;
  let sectionsByName = new Map<string, Section>();
  let state: SectionState | undefined;

  function refresh(configuration: Configuration): SectionState {
    const next = splitSections(configuration);
    const sections = new Map<string, StoredSection>();
    for (const [name, section] of next) {
      const before = sectionsByName.get(name);
      const isUnchanged = before !== undefined && isSame(before, section);
      const stored = isUnchanged ? state?.sections.get(name) : undefined;
      sections.set(name, stored ?? storeSection(packSection(name, section)));
    }
    sectionsByName = next;
    splitConfiguration = configuration;
    state = {version: configuration.version, sections};
    return state;
  }

  return {
    current() {
      const configuration = configurations.current();
      if (configuration === splitConfiguration) return state;
      return refresh(configuration);
    },
    onChange: observe => configurations.onChange(() => observe()),
  };
}

/**
 * Reports changes in a separate turn of the event loop. Packing the sections of
 * a first configuration takes about as long as applying it. In a single turn
 * both would block the process of a small VM for longer than an election
 * timeout; the group would then elect another leader, which has to do the same
 * work.
 */
export function deferNotifications(source: SectionSource): SectionSource {
  return {
    current: source.current,
    onChange: observe => source.onChange(() => void nextTurn().then(observe)),
  };
}

/** Compares items by identity, since they are never changed in place. */
function isSame(left: Section, right: Section): boolean {
  return (
    left.service === right.service &&
    left.rollout === right.rollout &&
    isSameList(left.routes, right.routes) &&
    isSameList(left.policies, right.policies) &&
    isSameList(left.drains, right.drains) &&
    isSameList(left.quarantines ?? [], right.quarantines ?? []) &&
    isSameList(left.workspaces ?? [], right.workspaces ?? [])
  );
}

function isSameList<T>(left: readonly T[], right: readonly T[]): boolean {
  if (left.length !== right.length) return false;
  return left.every((item, index) => item === right[index]);
}

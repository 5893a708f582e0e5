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

/** A whole state as sections; never changed in place. */
export interface SectionState {
  readonly version: number;
  readonly sections: ReadonlyMap<string, StoredSection>;
}

/** Where a distributor gets the states that it hands out. */
export interface SectionSource {
  /** The newest state, or undefined before the first. */
  current(): SectionState | undefined;
  /** Calls `observe` after each newer state. */
  onChange(observe: () => void): void;
}

/** A configuration that changes, as the control group's machine has it. */
export interface ConfigurationSource {
  current(): Configuration;
  onChange(observe: () => void): void;
}

/** Packs a section and takes its digest. */
export function storeSection(packed: PackedSection): StoredSection {
  return {packed, digest: digestBytesOf(packed.bytes)};
}

/** Sees a configuration as sections, packing only those that changed. */
export function createSectionSource(
  configurations: ConfigurationSource,
): SectionSource {
  let seen: Configuration | undefined;
  let split = new Map<string, Section>();
  let state: SectionState | undefined;

  function refresh(configuration: Configuration): SectionState {
    const next = splitSections(configuration);
    const sections = new Map<string, StoredSection>();
    for (const [name, section] of next) {
      const before = split.get(name);
      const kept = before !== undefined && isSame(before, section);
      const stored = kept ? state?.sections.get(name) : undefined;
      sections.set(name, stored ?? storeSection(packSection(name, section)));
    }
    split = next;
    seen = configuration;
    state = {version: configuration.version, sections};
    return state;
  }

  return {
    current() {
      const configuration = configurations.current();
      if (configuration === seen) return state;
      return refresh(configuration);
    },
    onChange: observe => configurations.onChange(() => observe()),
  };
}

/**
 * Has changes told in a turn of their own. Packing the sections of a first
 * configuration takes about as long as applying it; in one turn, both together
 * stand a small VM still for longer than an election timeout, and its group
 * elects another leader with the same work before it.
 */
export function deferNotifications(source: SectionSource): SectionSource {
  return {
    current: source.current,
    onChange: observe => source.onChange(() => void nextTurn().then(observe)),
  };
}

/** Items are never changed in place, so the same objects are the same content. */
function isSame(left: Section, right: Section): boolean {
  return (
    left.service === right.service &&
    isSameList(left.routes, right.routes) &&
    isSameList(left.policies, right.policies) &&
    isSameList(left.drains, right.drains) &&
    isSameList(left.quarantines ?? [], right.quarantines ?? [])
  );
}

function isSameList<T>(left: readonly T[], right: readonly T[]): boolean {
  if (left.length !== right.length) return false;
  return left.every((item, index) => item === right[index]);
}

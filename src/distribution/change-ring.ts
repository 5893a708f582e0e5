import type {SectionState} from './section-source.js';

interface Step {
  readonly to: number;
  readonly names: readonly string[];
}

/** Which sections changed lately; bounded. */
export interface ChangeRing {
  /** Takes the next state; returns the names that changed in this step. */
  advance(state: SectionState): readonly string[];
  /** Sections changed after `version`, or undefined when it is too old. */
  since(version: number): ReadonlySet<string> | undefined;
}

/** Creates a ring that remembers `length` steps. */
export function createChangeRing(length: number): ChangeRing {
  let last: SectionState | undefined;
  /** The oldest version from which a delta can be made. */
  let floor = Number.POSITIVE_INFINITY;
  const steps: Step[] = [];

  function push(step: Step, from: number): void {
    if (steps.length === 0) floor = from;
    steps.push(step);
    if (steps.length > length) floor = steps.shift()!.to;
  }

  return {
    advance(state) {
      const before = last;
      last = state;
      if (before === undefined) {
        floor = state.version;
        return [...state.sections.keys()];
      }
      if (before === state) return [];
      const names = findChanged(before, state);
      push({to: state.version, names}, before.version);
      return names;
    },
    since(version) {
      if (version < floor) return undefined;
      const names = new Set<string>();
      for (let at = steps.length - 1; at >= 0; at--) {
        const step = steps[at]!;
        if (step.to <= version) break;
        for (const name of step.names) names.add(name);
      }
      return names;
    },
  };
}

function findChanged(before: SectionState, after: SectionState): string[] {
  const names: string[] = [];
  for (const [name, stored] of after.sections) {
    if (before.sections.get(name)?.digest !== stored.digest) names.push(name);
  }
  for (const name of before.sections.keys()) {
    if (!after.sections.has(name)) names.push(name);
  }
  return names;
}

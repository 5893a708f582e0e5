import type {SectionState} from './section-source.js';

/** One transition between states. */
interface Step {
  /** The version that the step leads to. */
  readonly to: number;
  readonly names: readonly string[];
}

/** The sections that changed in recent steps; bounded. */
export interface ChangeRing {
  /** Records the next state; returns the names of the sections that changed. */
  advance(state: SectionState): readonly string[];
  /**
   * Returns the sections changed after `version`, or undefined when it is older
   * than the ring.
   */
  since(version: number): ReadonlySet<string> | undefined;
}

/** Creates a ring that holds the last `length` steps. */
export function createChangeRing(length: number): ChangeRing {
  let last: SectionState | undefined;
  /** The oldest version from which a delta can be computed. */
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
      for (let index = steps.length - 1; index >= 0; index--) {
        const step = steps[index]!;
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

import type {Workspace} from '../configuration/configuration.js';
import type {Section} from './messages.js';
import {createPartedMap} from './parted-map.js';
import {sectionsOfService, workspacesSection} from './section-name.js';

type Workspaces = ReadonlyMap<string, Workspace>;

/** A section as a subscriber holds it. */
interface Unpacked {
  readonly section: Section;
}

/** The state that a subscriber holds. */
interface JoinedState {
  readonly sections: ReadonlyMap<string, Unpacked>;
  readonly configuration: {readonly workspaces: Workspaces};
}

/** The members of each section by name. */
const members = new WeakMap<Unpacked, Workspaces>();

/**
 * Joins the workspaces of a state's sections. The map is that of the held state
 * if nothing changed. Only changed sections are read, so that a change of one
 * workspace of 10,000 costs a node little; see `workspace-changes.ts`.
 */
export function joinWorkspaces(
  held: JoinedState | undefined,
  sections: ReadonlyMap<string, Unpacked>,
): Workspaces {
  const known: Workspaces = held?.configuration.workspaces ?? new Map();
  const before = workspaceSections(held?.sections ?? new Map());
  const after = workspaceSections(sections);
  const isSame =
    before.length === after.length &&
    after.every((section, part) => section === before[part]);
  if (isSame) return known;
  if (after.length === 0) return new Map();
  return createPartedMap(after.map(section => membersOf(section, known)));
}

function workspaceSections(
  sections: ReadonlyMap<string, Unpacked>,
): readonly Unpacked[] {
  const found = sectionsOfService(sections, workspacesSection);
  return [...found].map(([, section]) => section);
}

/** Workspaces that equal a known one are the same object. */
function membersOf(unpacked: Unpacked, known: Workspaces): Workspaces {
  const before = members.get(unpacked);
  if (before !== undefined) return before;
  const byName = new Map<string, Workspace>();
  for (const workspace of unpacked.section.workspaces ?? []) {
    const previous = known.get(workspace.name);
    const isSame = JSON.stringify(previous) === JSON.stringify(workspace);
    byName.set(workspace.name, isSame ? previous! : workspace);
  }
  members.set(unpacked, byName);
  return byName;
}

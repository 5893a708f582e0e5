import type {Workspace} from '../configuration/configuration.js';
import type {Section} from './messages.js';
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

/**
 * Joins the workspaces of a state's sections. Starts from those that are held,
 * so that little is done for a change of one workspace of 10,000. The map is the
 * same if nothing changed, and unchanged workspaces are the same objects.
 */
export function joinWorkspaces(
  held: JoinedState | undefined,
  sections: ReadonlyMap<string, Unpacked>,
): Workspaces {
  const before = workspaceSections(held?.sections ?? new Map());
  const after = workspaceSections(sections);
  const removed = [...before].filter(section => !after.has(section));
  const added = [...after].filter(section => !before.has(section));
  const known = held?.configuration.workspaces ?? new Map();
  if (removed.length === 0 && added.length === 0) return known;
  const workspaces = new Map<string, Workspace>(
    removed.length < before.size ? known : [],
  );
  // A workspace may move to another section, so all are removed first.
  for (const {name} of membersOf(removed)) workspaces.delete(name);
  for (const workspace of membersOf(added)) {
    const previous = known.get(workspace.name);
    const isSame = JSON.stringify(previous) === JSON.stringify(workspace);
    workspaces.set(workspace.name, isSame ? previous! : workspace);
  }
  return workspaces;
}

function workspaceSections(
  sections: ReadonlyMap<string, Unpacked>,
): ReadonlySet<Unpacked> {
  const found = new Set<Unpacked>();
  for (const [, section] of sectionsOfService(sections, workspacesSection)) {
    found.add(section);
  }
  return found;
}

function* membersOf(sections: Iterable<Unpacked>): Generator<Workspace> {
  for (const {section} of sections) yield* section.workspaces ?? [];
}

import type {Workspace} from '../configuration/configuration.js';

/** A workspace that was put or removed. */
export interface WorkspaceChange {
  /** Undefined if it is new. */
  readonly before: Workspace | undefined;
  /** Undefined if it was removed. */
  readonly after: Workspace | undefined;
}

type Workspaces = ReadonlyMap<string, Workspace>;

/**
 * The differences between the workspaces of two configurations. Parts that both
 * have are skipped, so that an index of 50,000 keys can follow a change of one
 * workspace at little cost.
 */
export function workspaceChanges(
  before: Workspaces,
  after: Workspaces,
): WorkspaceChange[] {
  const [oldParts, newParts] = [partsOf(before), partsOf(after)];
  const [oldSet, newSet] = [new Set(oldParts), new Set(newParts)];
  const previous = new Map<string, Workspace>();
  for (const part of oldParts) {
    if (newSet.has(part)) continue;
    for (const [name, workspace] of part) previous.set(name, workspace);
  }
  const changes: WorkspaceChange[] = [];
  for (const part of newParts) {
    if (oldSet.has(part)) continue;
    for (const [name, workspace] of part) {
      const earlier = previous.get(name);
      previous.delete(name);
      if (earlier === workspace) continue;
      changes.push({before: earlier, after: workspace});
    }
  }
  for (const removed of previous.values()) {
    changes.push({before: removed, after: undefined});
  }
  return changes;
}

function partsOf(workspaces: Workspaces): readonly Workspaces[] {
  const {parts} = workspaces as Partial<{parts: readonly Workspaces[]}>;
  return parts ?? [workspaces];
}

import type {Workspace} from '../configuration/configuration.js';

type Workspaces = ReadonlyMap<string, Workspace>;

/** Finds workspaces by the digests of their keys. */
export interface KeyIndex {
  /** Replaces the workspaces; without effect if they are the same object. */
  update(workspaces: Workspaces): void;
  find(digest: string): Workspace | undefined;
}

/**
 * Creates an empty index. An update compares the workspaces by identity and
 * changes only the entries of those that differ, since 10,000 workspaces may
 * have 50,000 keys and usually one of them changes.
 */
export function createKeyIndex(): KeyIndex {
  const owners = new Map<string, Workspace>();
  let indexed: Workspaces = new Map();

  function remove(workspace: Workspace): void {
    for (const digest of workspace.keys) {
      if (owners.get(digest) === workspace) owners.delete(digest);
    }
  }

  function add(workspace: Workspace): void {
    for (const digest of workspace.keys) owners.set(digest, workspace);
  }

  return {
    update: workspaces => {
      if (workspaces === indexed) return;
      // All removals come first, since a key may move to another workspace.
      for (const [name, workspace] of indexed) {
        if (workspaces.get(name) !== workspace) remove(workspace);
      }
      for (const [name, workspace] of workspaces) {
        if (indexed.get(name) !== workspace) add(workspace);
      }
      indexed = workspaces;
    },
    find: digest => owners.get(digest),
  };
}

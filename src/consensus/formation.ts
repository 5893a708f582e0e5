import type {Member} from './consensus.js';
import type {Hello, Voter} from './messages.js';

/** Finds out who founds a group, while the own folder belongs to none. */
export interface Formation {
  /** Takes a hello; returns the founders once they are certain. */
  onHello(hello: Hello): readonly Voter[] | undefined;
  onParted(hello: Hello): void;
  /** The founders when no other member is needed. */
  alone(): readonly Voter[] | undefined;
}

/**
 * Creates the formation of a group. An empty folder may be new or may have lost
 * a voter's memory; only all first members together can tell. So a group is
 * formed only while every one of them says that its folder is empty too. As
 * soon as one knows a group, the others join that one: as founders when it
 * lists their very folders, else by waiting until its leader takes them in.
 * Tests switch `isStorageChecked` off to show what an emptied voter would do.
 */
export function createFormation(
  self: Voter,
  members: readonly Member[],
  isStorageChecked = true,
): Formation {
  const empty = new Map<string, Voter>();
  const isFounder = members.some(member => member.name === self.name);

  function collect(): readonly Voter[] | undefined {
    if (!isFounder) return undefined;
    const founders: Voter[] = [];
    for (const member of members) {
      const {name} = member;
      const storage =
        name === self.name ? self.storage : empty.get(name)?.storage;
      if (storage === undefined) return undefined;
      founders.push({...member, storage});
    }
    return founders.sort((left, right) => (left.name < right.name ? -1 : 1));
  }

  const lists = (founders: readonly Voter[]) =>
    founders.some(
      voter =>
        voter.name === self.name &&
        (voter.storage === self.storage || !isStorageChecked),
    );

  return {
    onHello({member, storage, founders}) {
      if (founders !== undefined) {
        empty.delete(member.name);
        return lists(founders) ? founders : undefined;
      }
      empty.set(member.name, {...member, storage});
      return collect();
    },
    onParted: ({member}) => void empty.delete(member.name),
    alone: () => (members.length === 1 ? collect() : undefined),
  };
}

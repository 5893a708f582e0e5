/** Which members the group has, for this process and those that call it. */
import type {Member} from './consensus.js';
import type {Hello} from './messages.js';

/** The members that one process knows. */
export interface KnownMembers {
  /** Takes the members of the own log; returns whether others are to hear. */
  follow(members: readonly Member[]): boolean;
  /** Takes what a hello tells; returns whether others are to hear. */
  learn(hello: Hello): boolean;
  /** Those that were told, while this process is none of them. */
  told(): readonly Member[];
  /** All that is known, to be told to others. */
  list(): readonly Member[];
}

/**
 * Creates the knowledge of a process that knows nobody yet. Settings name a few
 * processes, which may be gone or no members any more, and a process that stands
 * ready would call these alone. The leader would not know of it, could not put
 * it in a lost voter's place, and the next loss would end the group. So members
 * tell who they are, and who is told calls them all. A process that is no member
 * passes on what it was told, for those that are told of no member at all.
 */
export function createKnownMembers(self: string): KnownMembers {
  let logged: readonly Member[] = [];
  let told: readonly Member[] = [];

  const lists = (members: readonly Member[]) =>
    members.some(({name}) => name === self);

  const list = () => (lists(logged) || told.length === 0 ? logged : told);

  return {
    list,
    told: () => (lists(logged) ? [] : told),
    follow(members) {
      const before = list();
      logged = members;
      return !isSameList(before, list());
    },
    learn({group, members}) {
      if (members === undefined || members.length === 0) return false;
      if (lists(members) || lists(logged)) return false;
      // Who is no member itself may pass on what is out of date.
      const isFirstHand = group !== undefined;
      if (!isFirstHand && list().length > 0) return false;
      const before = list();
      told = members;
      return !isSameList(before, list());
    },
  };
}

function isSameList(
  left: readonly Member[],
  right: readonly Member[],
): boolean {
  const namesOf = (members: readonly Member[]) =>
    members.map(({name, address}) => `${name} ${address}`).join(' ');
  return namesOf(left) === namesOf(right);
}

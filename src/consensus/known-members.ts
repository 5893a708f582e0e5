/** Which members the group has, for this process and those that it talks to. */
import type {Member} from './consensus.js';
import type {MemberList} from './messages.js';

/** The members that one process knows. */
export interface KnownMembers {
  /** Takes the members of the own log; returns whether others are to hear. */
  updateFromLog(logged: MemberList): boolean;
  /** Takes what a hello tells; returns whether others are to hear. */
  updateFromHello(list: MemberList | undefined): boolean;
  /** Those that were told, while the own log does not know them. */
  reported(): readonly Member[];
  /** The newest that is known, to be told to others. */
  newest(): MemberList | undefined;
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
  let logged: MemberList | undefined;
  let told: MemberList | undefined;

  const indexOf = (list: MemberList | undefined) => list?.index ?? -1;
  const newest = () => (indexOf(told) > indexOf(logged) ? told : logged);

  return {
    newest,
    reported: () => (newest() === told ? (told?.members ?? []) : []),
    updateFromLog(list) {
      logged = list;
      return list.members.length > 0 && newest() === logged;
    },
    updateFromHello(list) {
      if (list === undefined || list.members.length === 0) return false;
      if (list.index <= indexOf(newest())) return false;
      // Its own log will tell it soon.
      if (list.members.some(({name}) => name === self)) return false;
      told = list;
      return true;
    },
  };
}

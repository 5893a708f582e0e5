/**
 * The newest known list of group members, from the log or from other processes.
 */
import type {Member} from './consensus.js';
import type {MemberList} from './messages.js';

/** The members of the group as far as this process knows. */
export interface KnownMembers {
  /**
   * Sets the members of this process's log; returns whether to announce them.
   */
  updateFromLog(logged: MemberList): boolean;
  /**
   * Sets the members that a hello reports; returns whether to announce them.
   */
  updateFromHello(list: MemberList | undefined): boolean;
  /**
   * The reported members, if they are newer than those of this process's log.
   */
  reported(): readonly Member[];
  /** The newest list that is known; hellos carry it to other processes. */
  newest(): MemberList | undefined;
}

/**
 * Creates the register of known members, which is empty at first. Settings name
 * a few processes, which may be gone or may no longer be members. A standby
 * process that connected to these alone would be unknown to the leader, which
 * could not use it to replace a lost voter, and the next loss would end the
 * group. Hellos therefore carry the list of members, and a process connects to
 * all members on the list that it receives. A process that is not a member
 * forwards the list, so that it also reaches processes whose settings name no
 * member.
 */
export function createKnownMembers(self: string): KnownMembers {
  let logged: MemberList | undefined;
  let remote: MemberList | undefined;

  const indexOf = (list: MemberList | undefined) => list?.index ?? -1;
  const newest = () => (indexOf(remote) > indexOf(logged) ? remote : logged);

  return {
    newest,
    reported: () => (newest() === remote ? (remote?.members ?? []) : []),
    updateFromLog(list) {
      logged = list;
      return list.members.length > 0 && newest() === logged;
    },
    updateFromHello(list) {
      if (list === undefined || list.members.length === 0) return false;
      if (list.index <= indexOf(newest())) return false;
      // A list that includes this process will arrive in its log as well.
      if (list.members.some(({name}) => name === self)) return false;
      remote = list;
      return true;
    },
  };
}

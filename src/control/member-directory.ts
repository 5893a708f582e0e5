/**
 * Where the members of the control group are reached now. Settings name the
 * founders only; a member that replaced one has told the group by itself.
 */
import type {Consensus, Member} from '../consensus/consensus.js';
import type {HomeAddress} from '../fleet/messages.js';
import type {Address} from '../link/link.js';
import type {Random} from '../random/random.js';
import type {ControlSettings} from '../settings/schema.js';

/** The present members' addresses. */
export interface MemberDirectory {
  /** Where operators reach a member; undefined when nobody knows. */
  operatorAddress(name: string): Address | undefined;
  /** Where the other members take links, this one's address among them. */
  peerAddresses(): readonly Address[];
  /** The voters as homes of nodes; the same array until they change. */
  homes(): readonly HomeAddress[];
  /**
   * Where operators reach a member, for a process that is none: it can neither
   * decide nor read, and a caller that it kept waiting would find that out late.
   */
  memberAddress(): Address | undefined;
  /** Calls `observe` after each change. */
  onChange(observe: () => void): void;
}

/** Creates the directory over a group; a group not formed yet has none. */
export function createMemberDirectory(
  consensus: Pick<Consensus, 'status' | 'onMembersChange'>,
  founders: ControlSettings['members'],
  self: string,
  random: Random,
): MemberDirectory {
  const founderOf = (name: string) =>
    founders.find(founder => founder.name === name);
  const observers: Array<() => void> = [];
  let fellows = listFellows();
  let homes = listHomes();

  function distributionAddress(member: Member): Address | undefined {
    return (
      member.distributionAddress ?? founderOf(member.name)?.distributionAddress
    );
  }

  /**
   * The members: of the own log, or as they were told to a process that is none.
   * Its own log may be empty or years old; nodes and operators whose settings
   * name only such processes would go round them and never find a member.
   */
  function listMembers() {
    const {voters, learners, reportedMembers: told} = consensus.status();
    if (told.length > 0) return {voters: told, learners: []};
    return {voters, learners};
  }

  /** Of the own log: links to a process outside would carry nobody's nodes. */
  function listFellows(): Address[] {
    const {voters, learners} = consensus.status();
    if (voters.length === 0) {
      return founders.map(founder => founder.distributionAddress);
    }
    return [...voters, ...learners]
      .map(distributionAddress)
      .filter(address => address !== undefined);
  }

  function listHomes(): HomeAddress[] {
    return listMembers().voters.flatMap(member => {
      const address = distributionAddress(member);
      const {failureDomain} = member;
      return address === undefined ? [] : [{address, failureDomain}];
    });
  }

  consensus.onMembersChange(() => {
    const before = JSON.stringify([fellows, homes]);
    const next = {fellows: listFellows(), homes: listHomes()};
    if (JSON.stringify([next.fellows, next.homes]) === before) return;
    ({fellows, homes} = next);
    for (const observe of observers) observe();
  });

  function memberOf(name: string): Member | undefined {
    const {voters, learners} = listMembers();
    return [...voters, ...learners].find(member => member.name === name);
  }

  function operatorAddress(name: string): Address | undefined {
    return memberOf(name)?.operatorAddress ?? founderOf(name)?.operatorAddress;
  }

  /** The members as far as this process knows, the founders if it knows none. */
  function listOperatorAddresses(): Address[] {
    const {voters} = listMembers();
    if (voters.length === 0) {
      return founders
        .filter(founder => founder.name !== self)
        .map(founder => founder.operatorAddress);
    }
    return voters
      .map(({name}) => operatorAddress(name))
      .filter(address => address !== undefined);
  }

  function memberAddress(): Address | undefined {
    if (memberOf(self) !== undefined) return undefined;
    const addresses = listOperatorAddresses();
    return addresses.length === 0 ? undefined : random.pick(addresses);
  }

  return {
    memberAddress,
    operatorAddress,
    peerAddresses: () => fellows,
    homes: () => homes,
    onChange: observe => void observers.push(observe),
  };
}

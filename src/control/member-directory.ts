/**
 * The present addresses of the members of the control group. Settings list only
 * the founders; a member that replaced one has announced its addresses itself.
 */
import type {Consensus, Member} from '../consensus/consensus.js';
import type {HomeAddress} from '../fleet/messages.js';
import type {Address} from '../link/link.js';
import type {Random} from '../random/random.js';
import type {ControlSettings} from '../settings/schema.js';

/** The addresses of the present members. */
export interface MemberDirectory {
  /** The operator address of a member; undefined when it is not known. */
  operatorAddress(name: string): Address | undefined;
  /** The distribution addresses of all members, including this process's. */
  peerAddresses(): readonly Address[];
  /** The voters as homes for nodes; the same array until they change. */
  homes(): readonly HomeAddress[];
  /**
   * The operator address of some member, or undefined when this process is one.
   * A process that is not a member can neither accept changes nor read. It
   * redirects operators to this address instead of letting them wait.
   */
  memberAddress(): Address | undefined;
  /** Calls `observe` after each change. */
  onChange(observe: () => void): void;
}

/** Creates the directory. Until the group is formed it uses the founders. */
export function createMemberDirectory(
  consensus: Pick<Consensus, 'status' | 'onMembersChange'>,
  founders: ControlSettings['members'],
  self: string,
  random: Random,
): MemberDirectory {
  const founderOf = (name: string) =>
    founders.find(founder => founder.name === name);
  const observers: Array<() => void> = [];
  let peerAddresses = listPeerAddresses();
  let homes = listHomes();

  function distributionAddress(member: Member): Address | undefined {
    return (
      member.distributionAddress ?? founderOf(member.name)?.distributionAddress
    );
  }

  /**
   * The members in this process's log or, at a process that is not a member,
   * those that others reported. The log of such a process may be empty or very
   * old. Nodes and operators whose settings list only such processes would
   * otherwise try them in turn and never find a member.
   */
  function listMembers() {
    const {voters, learners, reportedMembers: reported} = consensus.status();
    if (reported.length > 0) return {voters: reported, learners: []};
    return {voters, learners};
  }

  /**
   * Only the members in this process's log, since nodes do not attach to
   * processes outside the group.
   */
  function listPeerAddresses(): Address[] {
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
    const before = JSON.stringify([peerAddresses, homes]);
    const next = {peerAddresses: listPeerAddresses(), homes: listHomes()};
    if (JSON.stringify([next.peerAddresses, next.homes]) === before) return;
    ({peerAddresses, homes} = next);
    for (const observe of observers) observe();
  });

  function memberOf(name: string): Member | undefined {
    const {voters, learners} = listMembers();
    return [...voters, ...learners].find(member => member.name === name);
  }

  function operatorAddress(name: string): Address | undefined {
    return memberOf(name)?.operatorAddress ?? founderOf(name)?.operatorAddress;
  }

  /**
   * Addresses of the known voters, or of the other founders if none is known.
   */
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
    peerAddresses: () => peerAddresses,
    homes: () => homes,
    onChange: observe => void observers.push(observe),
  };
}

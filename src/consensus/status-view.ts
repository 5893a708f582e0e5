import type {Status} from './consensus.js';
import type {CoreState} from './core-state.js';
import type {GroupLinks} from './group-links.js';
import type {Voter} from './messages.js';

/** Options of createStatusView. */
export interface StatusViewOptions {
  /** This process as a member of the group. */
  readonly selfVoter: Voter;
  readonly state: Readonly<CoreState>;
  readonly links: Pick<GroupLinks, 'find' | 'reportedMembers' | 'bytesOut'>;
  /** Size of the log on disk in bytes. */
  readonly logBytes: () => number;
}

/** Creates a function that returns the present status of the group. */
export function createStatusView(options: StatusViewOptions): () => Status {
  const {selfVoter, state, links, logBytes} = options;

  /**
   * Returns a member with the addresses that it last announced. They are newer
   * than those in the log when the member has moved to other ports.
   */
  function withAnnouncedAddresses(member: Voter): Voter {
    const announced =
      member.name === selfVoter.name ? selfVoter : links.find(member.name);
    if (announced?.storage !== member.storage) return member;
    const {operatorAddress, distributionAddress} = announced;
    return {
      ...member,
      ...(operatorAddress !== undefined && {operatorAddress}),
      ...(distributionAddress !== undefined && {distributionAddress}),
    };
  }

  return () => {
    const {voters, learners} = state.log.membership;
    return {
      role: state.role.current,
      term: state.term,
      leader: state.leader,
      commitIndex: state.commitIndex,
      lastIndex: state.log.lastIndex,
      snapshotIndex: state.snapshot.index,
      voters: voters.map(withAnnouncedAddresses),
      learners: learners.map(withAnnouncedAddresses),
      reportedMembers: links.reportedMembers,
      bytesOut: links.bytesOut,
      logBytes: logBytes(),
    };
  };
}

import type {Status} from './consensus.js';
import type {CoreState} from './core-state.js';
import type {GroupLinks} from './group-links.js';
import type {Voter} from './messages.js';

/** What a view of the group is made from. */
export interface StatusViewOptions {
  /** This process as a member. */
  readonly selfVoter: Voter;
  readonly state: Readonly<CoreState>;
  readonly links: Pick<GroupLinks, 'find' | 'reportedMembers' | 'bytesOut'>;
  /** Size of the log on disk in bytes. */
  readonly logBytes: () => number;
}

/** Creates the view that a process gives of its group. */
export function createStatusView(options: StatusViewOptions): () => Status {
  const {selfVoter: me, state, links, logBytes} = options;

  /** A member as it last told of itself, where it stands at other ports now. */
  function view(member: Voter): Voter {
    const told = member.name === me.name ? me : links.find(member.name);
    if (told?.storage !== member.storage) return member;
    const {operatorAddress, distributionAddress} = told;
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
      voters: voters.map(view),
      learners: learners.map(view),
      reportedMembers: links.reportedMembers,
      bytesOut: links.bytesOut,
      logBytes: logBytes(),
    };
  };
}

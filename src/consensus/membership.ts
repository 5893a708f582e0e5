import type {Membership, Voter} from './messages.js';
import {isSamePeer, membershipOf} from './core-state.js';
import type {CoreState} from './core-state.js';
import type {Replication} from './replication.js';

/** The answer to a replacement: `begun`, or why it was refused. */
export type ReplaceAnswer =
  'begun' | 'not-leader' | 'busy' | 'unknown' | 'present';

/** Changes the group's membership, one voter at a time. */
export interface MembershipChanges {
  /** Called when a process has connected and reported its data folder. */
  onPeerConnected(peer: Voter): void;
  onPeerDisconnected(name: string): void;
  replace(leaving: string, joining: Voter): ReplaceAnswer;
  /** Performs the next step of a membership change, if one is due. */
  tick(): void;
}

/**
 * Time after which a joining member that does not answer is removed again, as a
 * multiple of the election timeout.
 */
const joinTimeoutFactor = 60;

/**
 * Creates the leader's handling of membership changes. Each step adds or
 * removes one voter, so that every majority before it overlaps every majority
 * after it. The next step waits until the previous one and an entry of this
 * term are committed. Otherwise two leaders could each change a membership that
 * the other has not received.
 */
export function createMembershipChanges(
  state: CoreState,
  replication: Replication,
): MembershipChanges {
  const {self, electionTimeout, replaceLostAfter, safeguards} = state.options;
  const joinTimeout = replaceLostAfter ?? joinTimeoutFactor * electionTimeout;
  const targetVoters = votersToTolerate(state.options.faultTolerance);
  const connected = new Map<string, Voter>();

  const isLeader = () => state.role.current === 'leader';

  const mayChange = () =>
    state.log.membershipIndex <= state.commitIndex &&
    (state.commitIndex >= replication.termStartIndex ||
      !safeguards.ownTermChange);

  function propose(membership: Membership): void {
    const index = state.log.lastIndex + 1;
    const {term} = state;
    replication.append([{kind: 'membership', index, term, membership}]);
  }

  const without = (members: readonly Voter[], name: string) =>
    members.filter(member => member.name !== name);

  /**
   * A voter that restarts with a different data folder has lost its votes and
   * entries. It stops being a voter and becomes a learner.
   */
  function demoteChangedVoter(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    const changedMember = [...voters, ...learners].find(member => {
      const peer = connected.get(member.name);
      return peer !== undefined && !isSamePeer(state, member, peer);
    });
    if (changedMember === undefined) return false;
    const {name} = changedMember;
    propose({
      voters: without(voters, name),
      learners: [...without(learners, name), connected.get(name)!],
      replacement,
    });
    return true;
  }

  /** A learner becomes a voter once it has synced the whole committed log. */
  function promoteLearner(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    const caughtUp = learners.find(learner => {
      const progress = replication.progressOf(learner.name);
      if (progress === undefined || progress.mode !== 'stream') return false;
      return progress.matchIndex >= state.commitIndex;
    });
    if (caughtUp === undefined) return false;
    propose({
      voters: [...voters, caughtUp],
      learners: without(learners, caughtUp.name),
      replacement,
    });
    return true;
  }

  /** Once the joining member is a voter, the leaving one is removed. */
  function finishReplacement(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    if (replacement === undefined) return false;
    const {leaving, joining} = replacement;
    if (!voters.some(voter => voter.name === joining)) return false;
    // The leaving member may be a learner if it restarted with an empty folder.
    propose({
      voters: without(voters, leaving),
      learners: without(learners, leaving),
    });
    return true;
  }

  /**
   * A joining member that does not answer would block every later membership
   * change, including the replacement of a lost voter. It is removed.
   */
  function cancelStalledReplacement(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    if (replacement === undefined) return false;
    const {joining} = replacement;
    if (timeSinceContact(joining) < joinTimeout) return false;
    propose({voters, learners: without(learners, joining)});
    return true;
  }

  /**
   * Replaces a voter that has not answered for `replaceLostAfter` by a
   * connected process that is not a member. Without a replacement the group
   * would tolerate one loss fewer, and the next loss could end it. A voter that
   * was only frozen returns as a process that may join again. As in an
   * operator's replacement, the joining process becomes a voter before the lost
   * one is removed.
   */
  function replaceLostVoter(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    if (replaceLostAfter === undefined || !isLeader()) return false;
    if (replacement !== undefined) return false;
    const isLost = ({name}: Voter) =>
      timeSinceContact(name) >= replaceLostAfter;
    // Learners that do not answer, such as a voter that restarted with an empty
    // folder and was lost again, are replaced at once: they have no vote.
    if (learners.length > 0) {
      const next = chooseJoiningMember();
      if (next === undefined || !learners.every(isLost)) return false;
      propose({voters, learners: [next]});
      return true;
    }
    const lost = voters.find(
      voter => voter.name !== self.name && isLost(voter),
    );
    if (lost === undefined) return false;
    const joining = chooseJoiningMember(lost.name);
    if (joining === undefined) return false;
    propose({
      voters,
      learners: [joining],
      replacement: {leaving: lost.name, joining: joining.name},
    });
    return true;
  }

  /**
   * Adds a connected process until the group tolerates the configured number of
   * losses. A group is founded by the few processes that the settings list,
   * which may be too few: when two of three lose their disks there is never a
   * quorum again, and every node refuses its callers permanently. Processes are
   * added one at a time; each becomes a voter only once it holds the whole log.
   */
  function addVoter(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    if (!isLeader() || replacement !== undefined) return false;
    if (learners.length > 0 || voters.length >= targetVoters) return false;
    const joining = chooseJoiningMember();
    if (joining === undefined) return false;
    propose({voters, learners: [joining]});
    return true;
  }

  /**
   * A connected process that is not a member, in the failure domain with the
   * fewest remaining voters. The leaving voter is not counted. Otherwise its
   * domain would seem to have a voter, and the replacement could go to a domain
   * that already has one.
   */
  function chooseJoiningMember(leaving?: string): Voter | undefined {
    const remaining = without(membershipOf(state).voters, leaving ?? '');
    const votersInDomainOf = ({failureDomain}: Voter) =>
      remaining.filter(voter => voter.failureDomain === failureDomain).length;
    return [...connected.values()]
      .filter(peer => !isMember(peer.name))
      .sort(
        (left, right) => votersInDomainOf(left) - votersInDomainOf(right),
      )[0];
  }

  function timeSinceContact(name: string): number {
    return state.now - (replication.progressOf(name)?.contactAt ?? state.now);
  }

  const isMember = (name: string) => {
    const {voters, learners} = membershipOf(state);
    return [...voters, ...learners].some(member => member.name === name);
  };

  return {
    onPeerConnected(peer) {
      if (peer.name !== self.name) connected.set(peer.name, peer);
    },
    onPeerDisconnected(name) {
      connected.delete(name);
    },
    replace(leaving, joining) {
      const {voters, learners, replacement} = membershipOf(state);
      if (!isLeader()) return 'not-leader';
      if (replacement !== undefined || !mayChange()) return 'busy';
      const otherLearners = without(learners, leaving);
      if (otherLearners.length > 0) return 'busy';
      if (!isMember(leaving)) return 'unknown';
      if (isMember(joining.name)) return 'present';
      // A learner, such as a voter that restarted with an empty folder, is
      // removed at once.
      const isVoter = otherLearners.length === learners.length;
      propose({
        voters,
        learners: [joining],
        replacement: isVoter ? {leaving, joining: joining.name} : undefined,
      });
      return 'begun';
    },
    tick() {
      if (!mayChange()) return;
      if (demoteChangedVoter()) return;
      if (promoteLearner()) return;
      if (finishReplacement()) return;
      if (cancelStalledReplacement()) return;
      if (addVoter()) return;
      replaceLostVoter();
    },
  };
}

/**
 * Number of voters of which `faultTolerance` may be lost without losing the
 * majority.
 */
function votersToTolerate(faultTolerance: number | undefined): number {
  return faultTolerance === undefined ? 0 : 2 * faultTolerance + 1;
}

import type {Membership, Voter} from './messages.js';
import {isSamePeer, membershipOf} from './core-state.js';
import type {CoreState} from './core-state.js';
import type {Replication} from './replication.js';

/** Whether a replacement was begun, or why not. */
export type ReplaceAnswer =
  'begun' | 'not-leader' | 'busy' | 'unknown' | 'present';

/** Changes of the group's membership, one voter at a time. */
export interface MembershipChanges {
  /** A member told which data folder it runs on. */
  onPeerConnected(peer: Voter): void;
  onPeerDisconnected(name: string): void;
  replace(leaving: string, joining: Voter): ReplaceAnswer;
  /** Takes the next step of a change in progress. */
  tick(): void;
}

/** Election timeouts after which a silent joining member is given up. */
const abandonTimeouts = 60;

/**
 * Creates the leader's part in membership changes. Each step adds or removes
 * one voter, so that any majority before it meets any majority after it; the
 * next step waits until the last one is committed and an entry of this term is,
 * else two leaders could each build on a membership that the other never saw.
 */
export function createMembershipChanges(
  state: CoreState,
  replication: Replication,
): MembershipChanges {
  const {self, electionTimeout, replaceLostAfter, safeguards} = state.options;
  const patience = replaceLostAfter ?? abandonTimeouts * electionTimeout;
  const votersWanted = votersFor(state.options.faultTolerance);
  const met = new Map<string, Voter>();

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
   * A voter came back on another data folder: it forgot its votes and entries.
   * It stops being counted and starts again as a learner.
   */
  function demoteReturned(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    const returned = [...voters, ...learners].find(member => {
      const peer = met.get(member.name);
      return peer !== undefined && !isSamePeer(state, member, peer);
    });
    if (returned === undefined) return false;
    const {name} = returned;
    propose({
      voters: without(voters, name),
      learners: [...without(learners, name), met.get(name)!],
      replacement,
    });
    return true;
  }

  /** A learner that holds the whole log, synced, becomes a voter. */
  function promoteReady(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    const ready = learners.find(learner => {
      const progress = replication.progressOf(learner.name);
      if (progress === undefined || progress.mode !== 'stream') return false;
      return progress.matchIndex >= state.commitIndex;
    });
    if (ready === undefined) return false;
    propose({
      voters: [...voters, ready],
      learners: without(learners, ready.name),
      replacement,
    });
    return true;
  }

  /** The joining member counts: the leaving one may go. */
  function finishReplacement(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    if (replacement === undefined) return false;
    const {leaving, joining} = replacement;
    if (!voters.some(voter => voter.name === joining)) return false;
    // It may be a learner by now, when it came back on an empty folder.
    propose({
      voters: without(voters, leaving),
      learners: without(learners, leaving),
    });
    return true;
  }

  /**
   * A joining member that stays silent would block every later change, the
   * replacement of a lost voter above all.
   */
  function abandonSilent(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    if (replacement === undefined) return false;
    const {joining} = replacement;
    if (silenceOf(joining) < patience) return false;
    propose({voters, learners: without(learners, joining)});
    return true;
  }

  /**
   * A voter that is gone for good leaves the group with one vote less to lose:
   * the next loss would end it. So one that has been silent for long is replaced
   * where another process has called that belongs to no member; one that only
   * stood still comes back as such a process itself. It goes as an operator's
   * replacement does: the joining one counts before the silent one stops to.
   */
  function replaceLost(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    if (replaceLostAfter === undefined || !isLeader()) return false;
    if (replacement !== undefined) return false;
    const isLost = ({name}: Voter) => silenceOf(name) >= replaceLostAfter;
    // A voter that came back empty and fell silent again leaves at once.
    if (learners.length > 0) {
      const next = chooseJoining();
      if (next === undefined || !learners.every(isLost)) return false;
      propose({voters, learners: [next]});
      return true;
    }
    const lost = voters.find(
      voter => voter.name !== self.name && isLost(voter),
    );
    if (lost === undefined) return false;
    const joining = chooseJoining(lost.name);
    if (joining === undefined) return false;
    propose({
      voters,
      learners: [joining],
      replacement: {leaving: lost.name, joining: joining.name},
    });
    return true;
  }

  /**
   * A group is founded by the few processes that every one is told of, which may
   * be fewer than the losses to be borne need: with two disks of three lost no
   * quorum ever comes again, and every node refuses its callers for good. So the
   * group takes in processes that have called, one at a time, until it bears
   * them; a learner counts only once it holds the whole log.
   */
  function grow(): boolean {
    const {voters, learners, replacement} = membershipOf(state);
    if (!isLeader() || replacement !== undefined) return false;
    if (learners.length > 0 || voters.length >= votersWanted) return false;
    const joining = chooseJoining();
    if (joining === undefined) return false;
    propose({voters, learners: [joining]});
    return true;
  }

  /**
   * A process that has called and is no member, where fewest voters stand that
   * stay: counted with the leaving one, its failure domain would look taken and
   * lose its only voter to a domain that has one.
   */
  function chooseJoining(leaving?: string): Voter | undefined {
    const staying = without(membershipOf(state).voters, leaving ?? '');
    const neighbours = ({failureDomain}: Voter) =>
      staying.filter(voter => voter.failureDomain === failureDomain).length;
    return [...met.values()]
      .filter(peer => !isMember(peer.name))
      .sort((left, right) => neighbours(left) - neighbours(right))[0];
  }

  function silenceOf(name: string): number {
    return state.now - (replication.progressOf(name)?.contactAt ?? state.now);
  }

  const isMember = (name: string) => {
    const {voters, learners} = membershipOf(state);
    return [...voters, ...learners].some(member => member.name === name);
  };

  return {
    onPeerConnected(peer) {
      if (peer.name !== self.name) met.set(peer.name, peer);
    },
    onPeerDisconnected(name) {
      met.delete(name);
    },
    replace(leaving, joining) {
      const {voters, learners, replacement} = membershipOf(state);
      if (!isLeader()) return 'not-leader';
      if (replacement !== undefined || !mayChange()) return 'busy';
      const rest = without(learners, leaving);
      if (rest.length > 0) return 'busy';
      if (!isMember(leaving)) return 'unknown';
      if (isMember(joining.name)) return 'present';
      // A learner, such as a voter that came back empty, leaves at once.
      const isVoter = rest.length === learners.length;
      propose({
        voters,
        learners: [joining],
        replacement: isVoter ? {leaving, joining: joining.name} : undefined,
      });
      return 'begun';
    },
    tick() {
      if (!mayChange()) return;
      if (demoteReturned()) return;
      if (promoteReady()) return;
      if (finishReplacement()) return;
      if (abandonSilent()) return;
      if (grow()) return;
      replaceLost();
    },
  };
}

/** Voters of which so many may be lost while a majority is left. */
function votersFor(faultTolerance: number | undefined): number {
  return faultTolerance === undefined ? 0 : 2 * faultTolerance + 1;
}

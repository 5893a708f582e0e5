import {createReadBarriers} from './read-barriers.js';
import {
  createCoreState,
  isVoter,
  membershipOf,
  roleOf,
  stepDown,
} from './core-state.js';
import type {
  Action,
  CoreOptions,
  CoreState,
  StoredState,
} from './core-state.js';
import {createElection} from './election.js';
import {createFollower} from './follower.js';
import type {Entry, Message, Peer, Snapshot, Voter} from './messages.js';
import {createMembershipChanges} from './membership.js';
import type {ReplaceAnswer} from './membership.js';
import {createReplication} from './replication.js';

/** One change to be kept. */
export interface Proposal {
  readonly id: number;
  readonly data: Uint8Array;
}

/** What happens to a member. */
export type Event =
  | {readonly kind: 'tick'}
  | {readonly kind: 'receive'; readonly from: Peer; readonly message: Message}
  /** A member told which data folder it runs on. */
  | {readonly kind: 'met'; readonly peer: Voter}
  /** The link from a member ended. */
  | {readonly kind: 'parted'; readonly name: string}
  | {readonly kind: 'propose'; readonly proposals: readonly Proposal[]}
  | {readonly kind: 'barrier'; readonly id: number}
  /** This process will stop: another member should lead. */
  | {readonly kind: 'hand-over'}
  /** The disk holds all entries up to `index` of that epoch of the log. */
  | {readonly kind: 'synced'; readonly index: number; readonly epoch: number}
  /** A snapshot of the own state is durable; the log may shrink behind it. */
  | {
      readonly kind: 'snapshot-saved';
      readonly snapshot: Snapshot;
      readonly keepAfter: number;
    }
  /** The founders are known: the group exists. */
  | {readonly kind: 'formed'; readonly snapshot: Snapshot};

/**
 * The decisions of one member: a plain synchronous part that takes an event
 * and returns what is to be done, without touching disk, network or clock.
 */
export interface Core {
  readonly state: Readonly<CoreState>;
  handle(event: Event, now: number): Action[];
  /** Begins to replace a member; the answer says why not. */
  replace(leaving: string, joining: Voter, now: number): ReplaceOutcome;
}

/** The answer to a replacement and what is to be done for it. */
export interface ReplaceOutcome {
  readonly answer: ReplaceAnswer;
  readonly actions: Action[];
}

/** Creates the decisions of a member from what was found on its disk. */
export function createCore(options: CoreOptions, stored: StoredState): Core {
  const state = createCoreState(options, stored);
  const replication = createReplication(state);
  const election = createElection(state, () => replication.startTerm());
  const follower = createFollower(state, election);
  const barriers = createReadBarriers(state, replication);
  const changes = createMembershipChanges(state, replication);

  function propose(proposals: readonly Proposal[]): void {
    const first = state.log.lastIndex + 1;
    const entries = proposals.map(({data}, at): Entry => ({
      kind: 'command',
      index: first + at,
      term: state.term,
      data,
    }));
    proposals.forEach(({id}, at) => {
      state.actions.push({kind: 'proposed', id, index: first + at});
    });
    replication.append(entries);
  }

  function receive(from: Peer, message: Message): void {
    switch (message.kind) {
      case 'vote-request':
        return election.onVoteRequest(from, message);
      case 'vote-answer':
        return election.onVoteAnswer(from, message);
      case 'append':
        return follower.onAppend(from, message);
      case 'appended':
        return replication.onAppendAnswer(from, message);
      case 'snapshot-part':
        return follower.onSnapshotPart(from, message);
      case 'snapshot-taken':
        return replication.onSnapshotPartAnswer(from, message);
      case 'take-over':
        return election.onTakeOverRequest(from, message);
      case 'barrier-request':
        return barriers.onRequest(from, message);
      case 'barrier-answer':
        return barriers.onAnswer(message);
    }
  }

  function onSynced(index: number, epoch: number): void {
    // Written before a cut: what stands there now may be another entry.
    if (epoch !== state.log.epoch) return;
    state.syncedIndex = Math.max(state.syncedIndex, index);
    if (roleOf(state) === 'leader') replication.onSynced();
    else follower.onSynced();
  }

  function onFormed(snapshot: Snapshot): void {
    state.formed = true;
    state.snapshot = snapshot;
    state.log.reset(snapshot);
  }

  function dispatch(event: Event): void {
    switch (event.kind) {
      case 'tick':
        election.tick();
        if (roleOf(state) === 'leader') replication.tick();
        if (roleOf(state) === 'leader') changes.tick();
        return;
      case 'receive':
        return receive(event.from, event.message);
      case 'met':
        return changes.onPeerConnected(event.peer);
      case 'parted':
        return changes.onPeerDisconnected(event.name);
      case 'propose':
        return propose(event.proposals);
      case 'barrier':
        return barriers.request(event.id);
      case 'hand-over':
        if (roleOf(state) === 'leader') replication.handOver();
        return;
      case 'synced':
        return onSynced(event.index, event.epoch);
      case 'snapshot-saved':
        if (event.snapshot.index <= state.snapshot.index) return;
        state.snapshot = event.snapshot;
        return state.log.compact(event.keepAfter);
      case 'formed':
        return onFormed(event.snapshot);
    }
  }

  /** Follows the membership: only who is counted may stand or lead. */
  function refreshRole(): void {
    const isCommitted = state.log.membershipIndex <= state.commitIndex;
    if (isVoter(state)) state.role.send('counted');
    else if (roleOf(state) !== 'leader') state.role.send('uncounted');
    else if (isCommitted) {
      stepDown(state);
      state.role.send('uncounted');
    }
  }

  function run(task: () => void, now: number): Action[] {
    state.now = now;
    const role = roleOf(state);
    const {leader, term} = state;
    task();
    refreshRole();
    const hasLead = roleOf(state) === 'leader' && state.term === term;
    if (role === 'leader' && !hasLead) {
      barriers.abandon();
      state.actions.push({kind: 'lead-lost'});
    }
    barriers.advance();
    if (roleOf(state) !== role || state.leader !== leader) {
      state.actions.push({kind: 'role'});
    }
    return state.actions.splice(0);
  }

  run(() => {}, 0);
  return {
    state,
    handle: (event, now) => run(() => dispatch(event), now),
    replace(leaving, joining, now) {
      let answer: ReplaceAnswer = 'begun';
      const actions = run(() => {
        answer = changes.replace(leaving, joining);
      }, now);
      return {answer, actions};
    },
  };
}

/** Whether a replacement is complete and committed in `state`. */
export function isReplaced(
  state: Readonly<CoreState>,
  leaving: string,
  joining: string,
): boolean {
  const {voters} = membershipOf(state);
  const isCommitted = state.log.membershipIndex <= state.commitIndex;
  const names = voters.map(voter => voter.name);
  return isCommitted && names.includes(joining) && !names.includes(leaving);
}

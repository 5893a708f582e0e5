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

/** One change to be committed. */
export interface Proposal {
  readonly id: number;
  readonly data: Uint8Array;
}

/** An input of the core. */
export type CoreEvent =
  | {readonly kind: 'tick'}
  | {readonly kind: 'receive'; readonly from: Peer; readonly message: Message}
  /** A process connected and reported the data folder that it runs on. */
  | {readonly kind: 'peer-connected'; readonly peer: Voter}
  /** The link from a process was closed. */
  | {readonly kind: 'peer-disconnected'; readonly name: string}
  | {readonly kind: 'propose'; readonly proposals: readonly Proposal[]}
  | {readonly kind: 'barrier'; readonly id: number}
  /** This process is about to stop, so another member should lead. */
  | {readonly kind: 'hand-over'}
  /**
   * All entries up to `index`, written in this epoch of the log, are durable.
   */
  | {readonly kind: 'synced'; readonly index: number; readonly epoch: number}
  /** A snapshot of this member's state is durable; the log may be compacted. */
  | {
      readonly kind: 'snapshot-saved';
      readonly snapshot: Snapshot;
      readonly keepAfter: number;
    }
  /** All founders are known, so the group is formed. */
  | {readonly kind: 'formed'; readonly snapshot: Snapshot};

/**
 * The consensus algorithm of one member. It is synchronous: it takes an event
 * and returns the actions to perform, and uses no disk, network or clock
 * itself.
 */
export interface Core {
  readonly state: Readonly<CoreState>;
  handle(event: CoreEvent, now: number): Action[];
  /** Begins to replace a member, or answers why it can't. */
  replace(leaving: string, joining: Voter, now: number): ReplaceOutcome;
}

/** The answer to a replacement and the actions to perform for it. */
export interface ReplaceOutcome {
  readonly answer: ReplaceAnswer;
  readonly actions: Action[];
}

/** Creates the core of a member from the state read from its disk. */
export function createCore(options: CoreOptions, stored: StoredState): Core {
  const state = createCoreState(options, stored);
  const replication = createReplication(state);
  const election = createElection(state, () => replication.startTerm());
  const follower = createFollower(state, election);
  const barriers = createReadBarriers(state, replication);
  const changes = createMembershipChanges(state, replication);

  function propose(proposals: readonly Proposal[]): void {
    const first = state.log.lastIndex + 1;
    const entries = proposals.map(({data}, offset): Entry => ({
      kind: 'command',
      index: first + offset,
      term: state.term,
      data,
    }));
    proposals.forEach(({id}, offset) => {
      const index = first + offset;
      state.actions.push({kind: 'proposed', id, index, term: state.term});
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
    // The entry was written before the log was truncated; another entry may
    // have its index now.
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

  function dispatch(event: CoreEvent): void {
    switch (event.kind) {
      case 'tick':
        election.tick();
        if (roleOf(state) === 'leader') replication.tick();
        if (roleOf(state) === 'leader') changes.tick();
        return;
      case 'receive':
        return receive(event.from, event.message);
      case 'peer-connected':
        return changes.onPeerConnected(event.peer);
      case 'peer-disconnected':
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

  /**
   * Updates the role from the membership: only a voter may be candidate or
   * leader.
   */
  function refreshRole(): void {
    const isCommitted = state.log.membershipIndex <= state.commitIndex;
    if (isVoter(state)) state.role.send('voter-added');
    else if (roleOf(state) !== 'leader') state.role.send('voter-removed');
    else if (isCommitted) {
      stepDown(state);
      state.role.send('voter-removed');
    }
  }

  function run(task: () => void, now: number): Action[] {
    state.now = now;
    const role = roleOf(state);
    const {leader, term} = state;
    task();
    refreshRole();
    const isStillLeader = roleOf(state) === 'leader' && state.term === term;
    if (role === 'leader' && !isStillLeader) {
      barriers.abandon();
      state.actions.push({kind: 'leadership-lost'});
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

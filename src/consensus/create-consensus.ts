import {Failure, failure} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {createApplier} from './applier.js';
import {consensusCodes} from './codes.js';
import type {Consensus, Member, Status} from './consensus.js';
import type {Action} from './core-state.js';
import {createCore} from './core.js';
import type {CoreEvent} from './core.js';
import {createGroupLinks} from './group-links.js';
import type {Voter} from './messages.js';
import {resolveOptions} from './options.js';
import type {ConsensusOptions} from './options.js';
import {createProposals} from './proposals.js';
import {createPendingReads} from './pending-reads.js';
import {createReplacements, refuseReplacement} from './replacements.js';
import {openStorage} from './storage.js';
import {toFailure} from './storage-failure.js';
import {createStatusView} from './status-view.js';
import {createWriter} from './writer.js';

export type {ConsensusOptions} from './options.js';

/** Timeout of a read barrier, as a multiple of the election timeout. */
const readTimeoutFactor = 6;

/**
 * Starts a member of the control group: opens its data folder, listens for the
 * other members and joins the group. Throws a `Failure` when the data folder is
 * damaged or belongs to another member.
 */
export async function createConsensus(
  given: ConsensusOptions,
): Promise<Consensus> {
  const options = resolveOptions(given);
  const {self, machine, timers, log, heartbeat, electionTimeout} = options;
  const storage = await openStorage(options.disk, self.name).catch(error => {
    throw toFailure(error);
  });
  const selfVoter: Voter = {...self, storage: storage.identity.storage};
  const core = createCore({...options, self: selfVoter}, storage.stored);
  const {state} = core;
  const proposals = createProposals();
  const roleObservers: Array<(status: Status) => void> = [];
  const memberObservers: Array<() => void> = [];
  const queue: Action[] = [];
  let isPerforming = false;
  let stopped: Result<never> | undefined;
  /** Set while a leader that is stopping waits for another member to lead. */
  let onHandedOver: (() => void) | undefined;
  let membership = state.log.membership;

  const mustQueueSends = () =>
    options.safeguards.syncVote && writer.hasPendingVote;

  const isLeader = () => state.role.current === 'leader';

  const writer = createWriter(
    storage,
    {
      onSynced: (index, epoch) => handle({kind: 'synced', index, epoch}),
      onSnapshotSaved(snapshot, keepAfter) {
        applier.onSnapshotSaved();
        handle({kind: 'snapshot-saved', snapshot, keepAfter});
      },
      onInstalled: () => links.announce(),
      send: (to, message) => links.send(to, message),
      onFailure: failStop,
    },
    {
      groupCommit: options.groupCommit,
      stopOnFailure: options.safeguards.stopOnSyncFailure,
    },
  );
  const applier = createApplier({
    state,
    machine,
    proposals,
    snapshotEntries: options.snapshotEntries,
    save: job => writer.push(job),
  });
  const reads = createPendingReads({
    timers,
    resendAfter: electionTimeout,
    timeout: electionTimeout * readTimeoutFactor,
    request: id => handle({kind: 'barrier', id}),
    appliedIndex: () => applier.index,
  });
  const replacements = createReplacements(
    state,
    () => stopped === undefined && isLeader(),
  );
  if (storage.stored.formed) applier.restore(storage.stored.snapshot);
  const links = await createGroupLinks({
    options,
    selfVoter,
    log,
    identity: () => storage.identity,
    handle,
    epoch: () => state.log.epoch,
    write: job => writer.push(job),
  });
  const status = createStatusView({
    selfVoter,
    state,
    links,
    logBytes: () => storage.logBytes,
  });
  links.followMembership(membership, state.log.membershipIndex);
  links.formSingleMemberGroup();
  const ticking = timers.every(Math.max(1, heartbeat / 2), tick);

  function handle(event: CoreEvent): void {
    if (stopped !== undefined) return;
    perform(core.handle(event, timers.now()));
    if (event.kind === 'peer-connected') observeMembers();
  }

  /**
   * Performs actions in the given order. An action may cause the next event
   * synchronously; the actions of that event run after all earlier ones.
   */
  function perform(actions: readonly Action[]): void {
    queue.push(...actions);
    if (isPerforming) return;
    isPerforming = true;
    for (let next = queue.shift(); next; next = queue.shift()) performOne(next);
    isPerforming = false;
    if (state.log.membership === membership) return;
    membership = state.log.membership;
    links.followMembership(membership, state.log.membershipIndex);
    logMembers();
    observeMembers();
  }

  function logMembers(): void {
    const {voters, learners, replacement} = membership;
    log.info('members', {
      voters: namesOf(voters),
      learners: namesOf(learners),
      leaving: replacement?.leaving,
      // The processes from which the leader chooses the replacement of a lost
      // voter.
      ready: namesOf(links.ready),
      // Number of voters that may be lost at once together with their disks.
      bearable: Math.ceil(voters.length / 2) - 1,
    });
  }

  function observeMembers(): void {
    for (const observe of memberObservers) observe();
  }

  function performOne(action: Action): void {
    switch (action.kind) {
      case 'send':
        // A vote must be durable before another member relies on it.
        if (mustQueueSends()) writer.push(action);
        else links.send(action.to, action.message);
        return;
      case 'save-vote':
      case 'append':
      case 'cut':
        return writer.push(action);
      case 'install':
        links.install(action);
        applier.restore(action.snapshot);
        return reads.onApplied(applier.index);
      case 'commit':
        apply(action.index);
        reads.onApplied(applier.index);
        return replacements.check();
      case 'proposed':
        return proposals.onProposed(action);
      case 'leadership-lost':
        log.info('leadership ended', {pending: proposals.count});
        proposals.abandon();
        return replacements.check();
      case 'barrier':
        return reads.onBarrier(action.id, action.index);
      case 'role':
        return observeRole();
    }
  }

  /**
   * A state machine that can't apply an entry must stop. Its state would differ
   * from the others', and it would answer with changes that were never
   * accepted.
   */
  function apply(index: number): void {
    try {
      applier.apply(index);
    } catch (error) {
      if (!(error instanceof Failure)) throw error;
      failStop(error);
    }
  }

  function observeRole(): void {
    const current = status();
    const {role, term, leader} = current;
    log.info('role', {role, term, leader: leader ?? null});
    for (const observe of roleObservers) observe(current);
    if (!isLeader()) onHandedOver?.();
  }

  function tick(): void {
    handle({kind: 'tick'});
    reads.tick();
    if (onHandedOver !== undefined && proposals.count === 0) {
      handle({kind: 'hand-over'});
    }
    // While idle, a sync mark is written so that damage to the last entry can
    // be distinguished from an incomplete write.
    if (writer.isIdle && !storage.isMarked) writer.push({kind: 'mark'});
  }

  /** Proposes all changes of one event loop turn together. */
  function flush(): void {
    if (stopped !== undefined) return;
    if (!isLeader()) proposals.refuse(notLeader());
    const list = proposals.take();
    if (list.length > 0) handle({kind: 'propose', proposals: list});
  }

  function notLeader(): Result<never> {
    const {leader} = state;
    const message =
      leader === undefined || leader === self.name
        ? 'no leader is known; try again later'
        : `the leader is ${leader}; send it there`;
    return failure(consensusCodes.notLeader, message);
  }

  function refuseProposal(data: Uint8Array): Result<never> | undefined {
    const {entryLimit, pendingLimit, pendingBytesLimit} = options;
    if (stopped !== undefined) return stopped;
    if (!isLeader() || onHandedOver !== undefined) return notLeader();
    if (data.length > entryLimit) {
      return failure(
        consensusCodes.entryTooLarge,
        `${data.length} bytes are more than ${entryLimit}; split the change`,
      );
    }
    const isFull =
      proposals.count >= pendingLimit || proposals.bytes >= pendingBytesLimit;
    if (!isFull) return undefined;
    return failure(
      consensusCodes.overloaded,
      `${proposals.count} changes wait for a majority; send it again later`,
    );
  }

  async function replace(
    leaving: string,
    joining: Member,
  ): Promise<Result<void>> {
    if (stopped !== undefined) return stopped;
    if (!isLeader()) return notLeader();
    const connected = links.find(joining.name);
    if (connected === undefined) {
      return failure(
        consensusCodes.memberUnreachable,
        `${joining.name} has not called; start it with this group's members in its settings`,
      );
    }
    // The command gives the peer address; the other addresses come from the
    // hello.
    const voter = {...connected, ...joining};
    const {answer, actions} = core.replace(leaving, voter, timers.now());
    perform(actions);
    if (answer === 'begun') return replacements.wait(leaving, joining.name);
    if (answer === 'not-leader') return notLeader();
    return refuseReplacement(answer, leaving, joining.name);
  }

  /**
   * A leader that stops waits for its pending changes and then hands leadership
   * over, so that a planned stop costs no election timeout. The wait is limited
   * because the group may have no member that can take over.
   */
  async function handOverLeadership(): Promise<void> {
    if (stopped !== undefined || !isLeader()) return;
    if (state.log.membership.voters.length === 1) return;
    await new Promise<void>(resolve => {
      onHandedOver = resolve;
      timers.after(electionTimeout, resolve);
    });
  }

  function failStop(problem: Failure): void {
    log.error(problem.message, {code: problem.code.number});
    void halt(failure(problem.code, problem.message));
    options.onFailure?.(problem);
  }

  async function halt(reason: Result<never>): Promise<void> {
    if (stopped !== undefined) return;
    stopped = reason;
    ticking.cancel();
    proposals.abandon();
    reads.refuse(reason);
    replacements.check();
    await links.stop();
  }

  return {
    async propose(data) {
      const refusal = refuseProposal(data);
      if (refusal !== undefined) return refusal;
      queueMicrotask(flush);
      return proposals.add(data);
    },
    async readBarrier() {
      return stopped ?? reads.wait();
    },
    status,
    replace,
    onApplied: observe => applier.observe(observe),
    onRoleChange: observe => void roleObservers.push(observe),
    onMembersChange: observe => void memberObservers.push(observe),
    async stop() {
      await handOverLeadership();
      await halt(
        failure(consensusCodes.stopped, 'this control process has stopped'),
      );
      await writer.stop();
      await storage.close();
    },
  };
}

function namesOf(members: readonly Member[]): string {
  return members.map(({name}) => name).join(' ');
}

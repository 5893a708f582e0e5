import {Failure, failure} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import {createApplier} from './applier.js';
import {consensusCodes} from './codes.js';
import type {Consensus, Member, Status} from './consensus.js';
import type {Action} from './core-state.js';
import {createCore} from './core.js';
import type {Event} from './core.js';
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

/** Election timeouts after which a read barrier is given up. */
const readTimeoutFactor = 6;

/**
 * Starts a member of the control group: opens its folder, listens and joins in.
 * Throws a `Failure` when the folder is damaged or another member's.
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
  const pendingActions: Action[] = [];
  let isPerforming = false;
  let stopped: Result<never> | undefined;
  /** Set while a leader that stops waits for another to lead. */
  let endRetirement: (() => void) | undefined;
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

  function handle(event: Event): void {
    if (stopped !== undefined) return;
    perform(core.handle(event, timers.now()));
    if (event.kind === 'peer-connected') observeMembers();
  }

  /**
   * Does actions in the order in which they were decided. An action may lead to
   * the next event at once; its actions wait until the earlier ones are done.
   */
  function perform(actions: readonly Action[]): void {
    pendingActions.push(...actions);
    if (isPerforming) return;
    isPerforming = true;
    for (
      let action = pendingActions.shift();
      action;
      action = pendingActions.shift()
    )
      performAction(action);
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
      // Of these the leader chooses who takes a lost voter's place.
      ready: namesOf(links.ready),
      // Voters that may be lost at once with their disks.
      bearable: Math.ceil(voters.length / 2) - 1,
    });
  }

  function observeMembers(): void {
    for (const observe of memberObservers) observe();
  }

  function performAction(action: Action): void {
    switch (action.kind) {
      case 'send':
        // A vote must be durable before anybody can count on it.
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
        proposals.abandon();
        return replacements.check();
      case 'barrier':
        return reads.onBarrier(action.id, action.index);
      case 'role':
        return observeRole();
    }
  }

  /**
   * A machine that can't follow the others must not go on beside them: it would
   * answer with a state that nobody accepted.
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
    if (!isLeader()) endRetirement?.();
  }

  function tick(): void {
    handle({kind: 'tick'});
    reads.tick();
    if (endRetirement !== undefined && proposals.count === 0) {
      handle({kind: 'hand-over'});
    }
    // Between changes: lets a damaged last entry be told from a torn one.
    if (writer.isIdle && !storage.isMarked) writer.push({kind: 'mark'});
  }

  /** Hands over the changes of one turn of the loop together. */
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
    const {
      entryLimit,
      pendingLimit: openLimit,
      pendingBytesLimit: openBytesLimit,
    } = options;
    if (stopped !== undefined) return stopped;
    if (!isLeader() || endRetirement !== undefined) return notLeader();
    if (data.length > entryLimit) {
      return failure(
        consensusCodes.entryTooLarge,
        `${data.length} bytes are more than ${entryLimit}; split the change`,
      );
    }
    const isFull =
      proposals.count >= openLimit || proposals.bytes >= openBytesLimit;
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
    // The command gives its peer address; the rest it has told by itself.
    const voter = {...connected, ...joining};
    const {answer, actions} = core.replace(leaving, voter, timers.now());
    perform(actions);
    if (answer === 'begun') return replacements.wait(leaving, joining.name);
    if (answer === 'not-leader') return notLeader();
    return refuseReplacement(answer, leaving, joining.name);
  }

  /**
   * A leader that stops lets its open changes end, then has another member lead,
   * so that a planned stop costs no election timeout. A bound keeps a group
   * without a fit member from delaying the stop.
   */
  async function retire(): Promise<void> {
    if (stopped !== undefined || !isLeader()) return;
    if (state.log.membership.voters.length === 1) return;
    await new Promise<void>(resolve => {
      endRetirement = resolve;
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
      await retire();
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

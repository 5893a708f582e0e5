import type {Disk} from '../disk/disk.js';
import type {Network} from '../link/link.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Failure} from '../result/failure.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {Timers} from '../time/timers.js';
import {consensusCodes} from './codes.js';
import type {Consensus, Member, StateMachine, Status} from './consensus.js';
import {allSafeguards} from './core-state.js';
import type {Action, Safeguards} from './core-state.js';
import {createCore, isReplaced} from './core.js';
import type {Event} from './core.js';
import {createFormation} from './formation.js';
import type {Hello, Message, Snapshot, Voter} from './messages.js';
import {createPeers} from './peers.js';
import {createProposals} from './proposals.js';
import {createReads} from './reads.js';
import {createGenesis, groupOf, openStorage} from './storage.js';
import {createWriter} from './writer.js';

/** What a member of the control group is made of. */
export interface ConsensusOptions {
  readonly self: Member;
  /** The first members; a formed group's own membership goes before it. */
  readonly members: readonly Member[];
  readonly disk: Disk;
  readonly network: Network;
  readonly timers: Timers;
  readonly random: Random;
  readonly log: Log;
  readonly machine: StateMachine;
  /** Milliseconds between a leader's heartbeats. */
  readonly heartbeat: number;
  /** Least milliseconds without a leader before an election. */
  readonly electionTimeout: number;
  /** Entries after which a snapshot takes the place of the log. */
  readonly snapshotEntries: number;
  /** Largest change in bytes; default 1 MiB. */
  readonly entryLimit?: number;
  /** Most changes that may wait for a majority; default 4096. */
  readonly openLimit?: number;
  /**
   * Called once when the disk fails: the member has stopped and the process
   * should end with the failure's code.
   */
  readonly onFailure?: (failure: Failure) => void;
  /** Whether changes that wait share one sync; off only to measure it. */
  readonly groupCommit?: boolean;
  /** Takes out protections; for tests only. */
  readonly safeguards?: Partial<Safeguards>;
}

const defaultEntryLimit = 1024 * 1024;
const defaultOpenLimit = 4096;
/** Election timeouts after which a read barrier is given up. */
const readTimeouts = 6;

/** Starts a member of the control group; throws a `Failure` on a bad folder. */
export async function createConsensus(
  options: ConsensusOptions,
): Promise<Consensus> {
  const {self, members, machine, timers, random, log} = options;
  const {heartbeat, electionTimeout, snapshotEntries} = options;
  const entryLimit = options.entryLimit ?? defaultEntryLimit;
  const openLimit = options.openLimit ?? defaultOpenLimit;
  const safeguards = {...allSafeguards, ...options.safeguards};

  const storage = await openStorage(options.disk, self.name);
  const me: Voter = {...self, storage: storage.identity.storage};
  const core = createCore(
    {self: me, random, heartbeat, electionTimeout, safeguards},
    storage.stored,
  );
  const {state} = core;
  const proposals = createProposals();
  const applyObservers: Array<(index: number) => void> = [];
  const roleObservers: Array<(status: Status) => void> = [];
  const replacements = new Set<() => void>();
  const met = new Map<string, Voter>();
  const formation = createFormation(me, members, safeguards.storageIdentity);
  let group = storage.identity.group;
  let founders = storage.identity.founders;
  let appliedIndex = 0;
  let snapshotPending = false;
  const due: Action[] = [];
  let isPerforming = false;
  let stopped: Result<never> | undefined;

  const writer = createWriter(
    storage,
    {
      onSynced: (index, epoch) => handle({kind: 'synced', index, epoch}),
      onSnapshotSaved(snapshot, keepAfter) {
        snapshotPending = false;
        handle({kind: 'snapshot-saved', snapshot, keepAfter});
      },
      onInstalled: () => peers.announce(),
      send: (to, message) => peers.send(to, message),
      onFailure(problem) {
        log.error(problem.message, {code: problem.code.number});
        void halt(failure(problem.code, problem.message));
        options.onFailure?.(problem);
      },
    },
    {
      groupCommit: options.groupCommit ?? true,
      stopOnFailure: safeguards.stopOnSyncFailure,
    },
  );

  const reads = createReads({
    timers,
    retry: electionTimeout,
    timeout: electionTimeout * readTimeouts,
    request: id => handle({kind: 'barrier', id}),
    appliedIndex: () => appliedIndex,
  });

  function handle(event: Event): void {
    if (stopped === undefined) perform(core.handle(event, timers.now()));
  }

  /**
   * Does actions in the order in which they were decided. An action may lead to
   * the next event at once; its actions wait until the earlier ones are done.
   */
  function perform(actions: readonly Action[]): void {
    due.push(...actions);
    if (isPerforming) return;
    isPerforming = true;
    for (let action = due.shift(); action; action = due.shift()) act(action);
    isPerforming = false;
    keepPeers();
  }

  function act(action: Action): void {
    switch (action.kind) {
      case 'send':
        // A vote must be durable before anybody can count on it.
        if (writer.holdsVote) writer.push(action);
        else peers.send(action.to, action.message);
        return;
      case 'save-vote':
      case 'append':
      case 'cut':
        return writer.push(action);
      case 'install':
        return install(action);
      case 'commit':
        return apply(action.index);
      case 'proposed':
        return proposals.onProposed(action);
      case 'lead-lost':
        proposals.abandon();
        return checkReplacements();
      case 'barrier':
        return reads.onBarrier(action.id, action.index);
      case 'role':
        return observeRole();
    }
  }

  function apply(index: number): void {
    while (appliedIndex < index) {
      const entry = state.log.entry(appliedIndex + 1)!;
      appliedIndex++;
      if (entry.kind === 'command') {
        const answer = machine.apply(entry.index, entry.data);
        proposals.onApplied(entry.index, answer);
      }
      for (const observe of applyObservers) observe(appliedIndex);
    }
    reads.onApplied(appliedIndex);
    checkReplacements();
    takeSnapshot();
  }

  function restore(snapshot: Snapshot): void {
    if (snapshot.index > 0) machine.restore(snapshot.index, snapshot.data);
    appliedIndex = snapshot.index;
    proposals.onRestored(appliedIndex);
    for (const observe of applyObservers) observe(appliedIndex);
    reads.onApplied(appliedIndex);
  }

  function install(action: Action & {kind: 'install'}): void {
    const {snapshot, epoch, leader} = action;
    const hello = hellos.get(leader);
    group ??= hello?.group;
    founders ??= hello?.founders;
    writer.push({
      kind: 'install',
      snapshot,
      epoch,
      group: group!,
      founders: founders!,
    });
    restore(snapshot);
  }

  function takeSnapshot(): void {
    if (snapshotPending) return;
    if (appliedIndex - state.snapshot.index < snapshotEntries) return;
    snapshotPending = true;
    const snapshot: Snapshot = {
      index: appliedIndex,
      term: state.log.termAt(appliedIndex)!,
      membership: state.log.membershipAt(appliedIndex),
      data: machine.snapshot(),
    };
    // A follower a little behind is still fed from the log.
    const keepAfter = Math.max(
      state.log.baseIndex,
      appliedIndex - snapshotEntries,
    );
    const keepAfterTerm = state.log.termAt(keepAfter)!;
    writer.push({kind: 'save-snapshot', snapshot, keepAfter, keepAfterTerm});
  }

  // Members and links.

  const hellos = new Map<string, Hello>();

  function form(list: readonly Voter[]): void {
    if (group !== undefined) return;
    group = groupOf(list);
    founders = list;
    const snapshot = createGenesis(list);
    handle({kind: 'formed', snapshot});
    const {epoch} = state.log;
    writer.push({kind: 'install', snapshot, epoch, group, founders});
    log.info('control group formed', {group, members: list.length});
  }

  function onHello(hello: Hello): void {
    const {member, storage: folder} = hello;
    hellos.set(member.name, hello);
    if (group === undefined) {
      const list = formation.onHello(hello);
      if (list !== undefined) form(list);
    }
    if (!isOfGroup(hello)) {
      log.error('a member belongs to another control group', {
        code: consensusCodes.foreignFolder.number,
        member: member.name,
        group: hello.group,
      });
      return;
    }
    const peer = {...member, storage: folder};
    met.set(member.name, peer);
    peers.keep(member);
    handle({kind: 'met', peer});
  }

  function onParted(hello: Hello): void {
    const {name} = hello.member;
    formation.onParted(hello);
    if (hellos.get(name) !== hello) return;
    hellos.delete(name);
    met.delete(name);
    handle({kind: 'parted', name});
  }

  const isOfGroup = (hello: Hello) =>
    hello.group === undefined || group === undefined || hello.group === group;

  function onMessage(hello: Hello, message: Message): void {
    if (!isOfGroup(hello)) return;
    // An empty folder learns its group from a snapshot and nothing else.
    if (group === undefined && hello.group === undefined) return;
    const from = {name: hello.member.name, storage: hello.storage};
    handle({kind: 'receive', from, message});
  }

  const peers = await createPeers({
    self,
    network: options.network,
    timers,
    random,
    log,
    reconnect: heartbeat,
    hello: () => ({
      kind: 'hello',
      member: self,
      storage: me.storage,
      group: storage.identity.group,
      founders: storage.identity.founders,
    }),
    onHello,
    onMessage,
    onParted,
  });

  let keptMembership = state.log.membership;

  function keepPeers(): void {
    const {membership} = state.log;
    if (membership === keptMembership) return;
    keptMembership = membership;
    for (const member of membership.voters) peers.keep(member);
    for (const member of membership.learners) peers.keep(member);
  }

  // Callers.

  function notLeader(): Result<never> {
    const leader = state.leader;
    const message =
      leader === undefined || leader === self.name
        ? 'no leader is known; try again later'
        : `the leader is ${leader}; send it there`;
    return failure(consensusCodes.notLeader, message);
  }

  const isLeader = () => state.role.current === 'leader';

  /** Hands over the changes of one turn of the loop together. */
  function flush(): void {
    if (stopped !== undefined) return;
    if (!isLeader()) proposals.refuse(notLeader());
    const list = proposals.take();
    if (list.length > 0) handle({kind: 'propose', proposals: list});
  }

  function checkReplacements(): void {
    for (const check of [...replacements]) check();
  }

  function awaitReplacement(
    leaving: string,
    joining: string,
  ): Promise<Result<void>> {
    return new Promise(resolve => {
      const end = (result: Result<void>) => {
        replacements.delete(check);
        resolve(result);
      };
      const check = () => {
        if (isReplaced(state, leaving, joining)) {
          end(success(undefined));
        } else if (stopped !== undefined || !isLeader()) {
          end(
            failure(
              consensusCodes.outcomeUnknown,
              'leadership ended during the replacement; the next leader goes on with it, see the status',
            ),
          );
        } else if (isAbandoned(joining)) {
          end(
            failure(
              consensusCodes.memberUnreachable,
              `${joining} stayed silent and was dropped; start it and replace again`,
            ),
          );
        }
      };
      replacements.add(check);
    });
  }

  function isAbandoned(joining: string): boolean {
    const {voters, learners, replacement} = state.log.membership;
    if (replacement !== undefined) return false;
    const all = [...voters, ...learners];
    return all.every(member => member.name !== joining);
  }

  function observeRole(): void {
    const view = status();
    log.info('role', {
      role: view.role,
      term: view.term,
      leader: view.leader ?? null,
    });
    for (const observe of roleObservers) observe(view);
  }

  function status(): Status {
    return {
      role: state.role.current,
      term: state.term,
      leader: state.leader,
      commitIndex: state.commitIndex,
      lastIndex: state.log.lastIndex,
      snapshotIndex: state.snapshot.index,
      voters: state.log.membership.voters,
      learners: state.log.membership.learners,
      bytesOut: peers.bytesOut,
      logBytes: storage.logBytes,
    };
  }

  async function halt(reason: Result<never>): Promise<void> {
    if (stopped !== undefined) return;
    stopped = reason;
    ticking.cancel();
    proposals.abandon();
    reads.refuse(reason);
    checkReplacements();
    await peers.stop();
  }

  function tick(): void {
    handle({kind: 'tick'});
    reads.tick();
    // Between changes: lets a damaged last entry be told from a torn one.
    if (writer.isIdle && group !== undefined) writer.push({kind: 'mark'});
  }

  if (storage.stored.formed) restore(storage.stored.snapshot);
  const ticking = timers.every(Math.max(1, heartbeat / 2), tick);
  for (const member of members) peers.keep(member);
  for (const member of state.log.membership.voters) peers.keep(member);
  for (const member of state.log.membership.learners) peers.keep(member);
  const alone = formation.alone();
  if (alone !== undefined) form(alone);

  return {
    async propose(data) {
      if (stopped !== undefined) return stopped;
      if (!isLeader()) return notLeader();
      if (data.length > entryLimit) {
        return failure(
          consensusCodes.entryTooLarge,
          `${data.length} bytes are more than ${entryLimit}; split the change`,
        );
      }
      if (proposals.count >= openLimit) {
        return failure(
          consensusCodes.overloaded,
          `${openLimit} changes wait for a majority; send it again later`,
        );
      }
      queueMicrotask(flush);
      return proposals.add(data);
    },
    async readBarrier() {
      return stopped ?? reads.wait();
    },
    status,
    async replace(leaving, joining) {
      if (stopped !== undefined) return stopped;
      const voter = met.get(joining.name);
      if (!isLeader()) return notLeader();
      if (voter === undefined) {
        return failure(
          consensusCodes.memberUnreachable,
          `${joining.name} has not called; start it with this group's members in its settings`,
        );
      }
      const joiningVoter = {...joining, storage: voter.storage};
      const now = timers.now();
      const outcome = core.replace(leaving, joiningVoter, now);
      perform(outcome.actions);
      switch (outcome.answer) {
        case 'begun':
          return awaitReplacement(leaving, joining.name);
        case 'not-leader':
          return notLeader();
        case 'busy':
          return failure(
            consensusCodes.replacementRunning,
            'another member change is not finished; wait until it is',
          );
        case 'unknown':
          return failure(
            consensusCodes.memberUnknown,
            `${leaving} is not a voter of the control group`,
          );
        case 'present':
          return failure(
            consensusCodes.memberPresent,
            `${joining.name} is already part of the control group`,
          );
      }
    },
    onApplied: observe => void applyObservers.push(observe),
    onRole: observe => void roleObservers.push(observe),
    async stop() {
      await halt(
        failure(consensusCodes.stopped, 'this control process has stopped'),
      );
      await writer.stop();
      await storage.close();
    },
  };
}

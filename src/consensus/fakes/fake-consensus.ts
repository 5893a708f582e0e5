import {failure, success} from '../../result/failure.js';
import type {Result} from '../../result/failure.js';
import {consensusCodes} from '../codes.js';
import type {Consensus, Member, StateMachine, Status} from '../consensus.js';

/** The outcome of a proposal; `commit-and-lose` and `lose` return no result. */
export type ProposalOutcome = 'answer' | 'commit-and-lose' | 'lose';

/**
 * A control group in memory that commits at once and fails as the test plans.
 */
export interface FakeGroup<M extends StateMachine> {
  member(name: string): Consensus;
  machine(name: string): M;
  /** Makes `name` the leader; undefined for no leader. */
  lead(name: string | undefined): void;
  /** Sets the outcomes of the next proposals; later ones are answered. */
  planOutcomes(...outcomes: ProposalOutcome[]): void;
  /**
   * Gives the member a new machine, restored from a snapshot at `index` and the
   * entries after it.
   */
  restart(name: string, index?: number): void;
  /** The entries committed so far. */
  entries(): readonly Uint8Array[];
}

/**
 * Creates a group whose members each apply the entries to their own machine.
 */
export function createFakeGroup<M extends StateMachine>(
  names: readonly string[],
  createMachine: () => M,
): FakeGroup<M> {
  const machines = new Map(names.map(name => [name, createMachine()]));
  const log: Uint8Array[] = [];
  const outcomes: ProposalOutcome[] = [];
  const observers = new Set<(index: number) => void>();
  let voters = names.map(toMember);
  let leader: string | undefined = names[0];

  function commit(entry: Uint8Array, proposer: string): Uint8Array {
    log.push(entry);
    let answer = new Uint8Array();
    for (const [name, machine] of machines) {
      const result = machine.apply(log.length, entry);
      if (name === proposer) answer = new Uint8Array(result);
    }
    for (const observe of observers) observe(log.length);
    return answer;
  }

  async function propose(
    name: string,
    entry: Uint8Array,
  ): Promise<Result<Uint8Array>> {
    if (name !== leader)
      return failure(consensusCodes.notLeader, `the leader is ${leader}`);
    const outcome = outcomes.shift() ?? 'answer';
    if (outcome === 'lose')
      return failure(consensusCodes.outcomeUnknown, 'leadership ended');
    const answer = commit(entry, name);
    if (outcome === 'answer') return success(answer);
    return failure(consensusCodes.outcomeUnknown, 'leadership ended');
  }

  function status(name: string): Status {
    return {
      role: name === leader ? 'leader' : 'follower',
      term: 1,
      leader,
      commitIndex: log.length,
      lastIndex: log.length,
      snapshotIndex: 0,
      voters,
      learners: [],
      reportedMembers: [],
      bytesOut: 0,
      logBytes: 0,
    };
  }

  function restart(name: string, index = 0): void {
    const machine = createMachine();
    const before = createMachine();
    log.slice(0, index).forEach((entry, at) => before.apply(at + 1, entry));
    if (index > 0) machine.restore(index, before.snapshot());
    log.slice(index).forEach((entry, at) => {
      machine.apply(index + at + 1, entry);
    });
    machines.set(name, machine);
  }

  function member(name: string): Consensus {
    return {
      propose: entry => propose(name, entry),
      readBarrier: async () =>
        leader === undefined
          ? failure(consensusCodes.notLeader, 'there is no leader')
          : success(log.length),
      status: () => status(name),
      replace: async (leaving, joining) => {
        if (name !== leader)
          return failure(consensusCodes.notLeader, `the leader is ${leader}`);
        voters = voters.map(item => (item.name === leaving ? joining : item));
        return success(undefined);
      },
      onApplied: observe => void observers.add(observe),
      onRoleChange: () => {},
      onMembersChange: () => {},
      stop: async () => {},
    };
  }

  return {
    member,
    machine: name => machines.get(name)!,
    lead: name => void (leader = name),
    planOutcomes: (...next) => void outcomes.push(...next),
    restart,
    entries: () => log,
  };
}

function toMember(name: string): Member {
  return {name, address: '127.0.0.1:1', failureDomain: 'hall-a'};
}

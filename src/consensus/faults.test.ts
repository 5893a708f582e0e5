import test from 'ava';
import {createRandom} from '../random/random.js';
import type {Random} from '../random/random.js';
import {settle} from '../time/fakes/fake-timers.js';
import {consensusCodes} from './codes.js';
import type {Safeguards} from './core-state.js';
import {createTestGroup} from './fakes/group.js';
import type {TestGroup} from './fakes/group.js';

// Injects random faults, which are the same for the same seed. Members are
// killed, alone or all at once, and lose unsynced bytes; they freeze, lose
// their disk, or fail a sync. Links are cut in one or both directions, and
// messages are dropped, doubled and reordered. Meanwhile changes are proposed
// and members replaced. There must be at most one leader per term, all members
// must apply the same entries in the same order, and no accepted change may be
// lost.

const steps = 150;
const size = 3;
const recoveryRounds = 10;
const mutantSeeds = 60;

interface RunSummary {
  readonly violations: string[];
  readonly accepted: number;
  readonly leaders: number;
  readonly replaced: number;
}

/** Records all leaders and applied entries, and reports contradictions. */
function createObserver(group: TestGroup) {
  const violations: string[] = [];
  const leaders = new Map<number, string>();
  const entries = new Map<number, string>();

  function recordEntries(name: string): void {
    for (const {index, text} of group.member(name).journal.entries) {
      const known = entries.get(index) ?? text;
      if (known !== text) violations.push(`${name}: ${index} is ${text}`);
      entries.set(index, known);
    }
  }

  function recordLeader(name: string, term: number): void {
    const known = leaders.get(term) ?? name;
    if (known !== name) violations.push(`term ${term}: ${known} and ${name}`);
    leaders.set(term, known);
  }

  return {
    violations,
    leaders,
    watch(name: string): void {
      const {consensus} = group.member(name);
      consensus!.onApplied(() => {
        const last = group.member(name).journal.entries.at(-1);
        if (last === undefined) return;
        const known = entries.get(last.index) ?? last.text;
        if (known !== last.text) recordEntries(name);
        entries.set(last.index, known);
      });
      consensus!.onRoleChange(({role, term}) => {
        if (role === 'leader') recordLeader(name, term);
      });
    },
    recordEntries,
  };
}

async function runFaults(
  seed: number,
  safeguards: Partial<Safeguards>,
): Promise<RunSummary> {
  const random = createRandom(seed);
  const group = createTestGroup(size, {
    seed,
    snapshotEntries: 8,
    safeguards,
    diskOptions: {syncTime: 4},
  });
  group.add('spare');
  const observer = createObserver(group);
  const accepted: string[] = [];
  const frozen = new Set<string>();
  let proposed = 0;
  let replaced = 0;

  const isUp = (name: string) => group.member(name).consensus !== undefined;

  async function start(name: string): Promise<void> {
    if (isUp(name)) return;
    group.thaw(name);
    frozen.delete(name);
    const isStarted = await group.start(name).then(
      () => true,
      // The disk failed during the start; the member is started again later.
      (error: {code?: unknown}) => {
        if (error.code !== consensusCodes.syncFailed) throw error;
        return false;
      },
    );
    if (isStarted) observer.watch(name);
  }

  /** Stops a member in an orderly way, as in a planned restart. */
  async function stop(name: string): Promise<void> {
    await group.stop(name).catch(() => {});
    group.kill(name);
  }

  function propose(name: string): void {
    const text = `change ${proposed++}`;
    void group
      .member(name)
      .consensus?.propose(Buffer.from(text))
      .then(({ok}) => ok && accepted.push(text));
  }

  /**
   * Has the leader replace a random voter by the member that is not a voter.
   */
  function replace(): void {
    const leader = group.leader();
    if (leader === undefined) return;
    const {consensus} = group.member(leader);
    const voters = consensus!.status().voters.map(({name}) => name);
    const joining = group.names.find(name => !voters.includes(name));
    if (joining === undefined) return;
    const leaving = random.pick(voters);
    void consensus!
      .replace(leaving, group.member(joining).member)
      .then(({ok}) => ok && replaced++);
  }

  async function injectFault(name: string, kind: number): Promise<void> {
    if (kind === 0) group.kill(name, random);
    if (kind === 1) group.isolate(name);
    if (kind === 2) group.network.cut(name, random.pick(group.names));
    if (kind === 3 || kind === 8) group.network.heal();
    if (kind === 4 && isUp(name)) {
      group.freeze(name);
      frozen.add(name);
    }
    if (kind === 5 || kind === 9) {
      group.thaw(name);
      frozen.delete(name);
    }
    if (kind === 6 && isUp(name)) group.member(name).disk.failNextSync();
    if (kind === 7 && isHealthy(group)) {
      group.kill(name, random);
      group.member(name).disk.wipe();
    }
    if (kind === 10 || kind === 13) {
      for (const member of group.names) group.kill(member, random);
    }
    if (kind === 11 || kind === 12) replace();
    if (kind === 14 && isUp(name) && !frozen.has(name)) await stop(name);
    if (kind > 14) await start(name);
  }

  group.network.decide(() => {
    const chance = random.integer(100);
    if (chance < 3) return 'drop';
    if (chance < 5) return 'double';
    return chance < 6 ? 'hold' : 'deliver';
  });
  for (const name of group.names) await start(name);
  await group.run(3000);

  for (let step = 0; step < steps; step++) {
    for (let count = random.integer(4); count > 0; count--) {
      propose(random.pick(group.names));
    }
    for (const name of group.names) propose(name);
    await group.run(random.integer(1000));
    await killFailedMembers(group);
    await injectFault(random.pick(group.names), random.integer(30));
    if (random.integer(4) === 0) group.network.release(true);
  }

  await recover(group, start, frozen, random);
  for (const name of group.names) observer.recordEntries(name);
  const texts = group
    .member(group.leader()!)
    .journal.entries.map(({text}) => text);
  const digests = votersOf(group).map(name =>
    group.member(name).journal.digest(),
  );
  if (new Set(digests).size > 1) observer.violations.push('digests differ');
  for (const text of accepted) {
    const copies = texts.filter(other => other === text).length;
    if (copies !== 1) observer.violations.push(`${text}: ${copies} copies`);
  }
  return {
    violations: observer.violations,
    accepted: accepted.length,
    leaders: observer.leaders.size,
    replaced,
  };
}

/** Kills members whose disk has failed, as their process would exit. */
async function killFailedMembers(group: TestGroup): Promise<void> {
  for (const name of group.names) {
    if (group.member(name).failure === undefined) continue;
    if (group.member(name).consensus !== undefined) group.kill(name);
  }
  await settle();
}

/** Ends all faults and waits until all members hold the same entries. */
async function recover(
  group: TestGroup,
  start: (name: string) => Promise<void>,
  frozen: Set<string>,
  random: Random,
): Promise<void> {
  group.network.heal();
  group.network.decide(() => 'deliver');
  group.network.release(random.integer(2) === 0);
  for (const name of frozen) group.thaw(name);
  for (let round = 0; round < recoveryRounds; round++) {
    await group.run(3000);
    if (isSettled(group)) return;
    // A sync that was set to fail may fail only now.
    await killFailedMembers(group);
    for (const name of group.names) await start(name);
  }
  throw new Error('the group did not recover');
}

/** The voters in the leader's membership; empty without exactly one leader. */
function votersOf(group: TestGroup): string[] {
  const leader = group.leader();
  if (leader === undefined) return [];
  const {voters} = group.member(leader).consensus!.status();
  return voters.map(({name}) => name);
}

/**
 * Whether all voters know each other as voters, which means that no disk is
 * lost at present. Only then may another disk be lost.
 */
function isHealthy(group: TestGroup): boolean {
  const voters = votersOf(group);
  const areVoters = voters.map(name => {
    const view = group.member(name).consensus?.status();
    if (view === undefined || view.role === 'learner') return false;
    if (view.learners.length > 0) return false;
    return view.voters.every(voter => voters.includes(voter.name));
  });
  return voters.length === size && areVoters.every(Boolean);
}

/**
 * Whether the group is healthy and all voters have committed the same entries.
 */
function isSettled(group: TestGroup): boolean {
  if (!isHealthy(group)) return false;
  const commits = votersOf(group).map(
    name => group.member(name).consensus!.status().commitIndex,
  );
  return new Set(commits).size === 1;
}

const seeds = Array.from({length: 8}, (_, at) => at + 1);

test('random faults neither lose nor change accepted entries', async t => {
  let accepted = 0;
  let leaders = 0;
  let replaced = 0;
  for (const seed of seeds) {
    const run = await runFaults(seed, {});
    t.deepEqual(run.violations, [], `seed ${seed}`);
    accepted += run.accepted;
    leaders += run.leaders;
    replaced += run.replaced;
  }
  t.log(`${accepted} changes, ${leaders} leaders, ${replaced} replacements`);
  t.true(accepted > 50 * seeds.length);
  t.true(leaders > 3 * seeds.length);
  t.true(replaced > seeds.length);
});

// Safeguards to switch off. The search for a violation starts at `firstSeed`,
// which only saves time.
const mutants = [
  {name: 'syncBeforeAnswer', firstSeed: 10},
  {name: 'storageIdentity', firstSeed: 86},
] as const;

test('the same faults cause violations when a safeguard is missing', async t => {
  // Otherwise the test above could pass because it detects nothing.
  for (const {name, firstSeed} of mutants) {
    let broken: number | undefined;
    for (let turn = 0; turn < mutantSeeds && broken === undefined; turn++) {
      const seed = firstSeed + turn;
      const isBroken = await runFaults(seed, {[name]: false}).then(
        ({violations}) => violations.length > 0,
        ({message}: Error) => message.includes('is committed'),
      );
      if (isBroken) broken = seed;
    }
    t.log(`without ${name}: violation at seed ${broken}`);
    t.not(broken, undefined);
  }
});

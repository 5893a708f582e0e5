import test from 'ava';
import {createRandom} from '../random/random.js';
import type {Random} from '../random/random.js';
import {createTestGroup} from './fakes/group.js';
import type {TestGroup} from './fakes/group.js';

/**
 * Milliseconds within which a group that tolerates its losses accepts a change
 * again.
 */
const recoveryLimit = 15_000;

/**
 * Milliseconds after the restart in which processes are frozen from time to
 * time.
 */
const freezePeriod = 6_000;

const options = {
  faultTolerance: 2,
  replaceLostAfter: 2_400,
  snapshotEntries: 16,
  heartbeat: 100,
  electionTimeout: 600,
  diskOptions: {syncTime: 1},
};

function shuffle<T>(list: readonly T[], random: Random): T[] {
  return list
    .map(item => ({item, rank: random.fraction()}))
    .sort((left, right) => left.rank - right.rank)
    .map(({item}) => item);
}

/**
 * Sends a change to the present leader until it is accepted; false if it never
 * is.
 */
async function accept(
  group: TestGroup,
  text: string,
  limit = recoveryLimit,
): Promise<boolean> {
  const end = group.timers.now() + limit;
  while (group.timers.now() < end) {
    const leader = group.leader();
    await group.run(10);
    if (leader === undefined) continue;
    const {consensus} = group.member(leader);
    let accepted: boolean | undefined;
    void consensus!.propose(Buffer.from(text)).then(({ok}) => (accepted = ok));
    while (accepted === undefined && group.timers.now() < end) {
      await group.run(10);
    }
    if (accepted === true) return true;
  }
  return false;
}

/** Freezes and thaws processes at random; all are thawed in the end. */
async function freezeAtRandom(
  group: TestGroup,
  names: readonly string[],
  random: Random,
): Promise<void> {
  const end = group.timers.now() + freezePeriod;
  while (group.timers.now() < end) {
    const name = random.pick(names);
    group.freeze(name);
    await group.run(100 + random.integer(700));
    group.thaw(name);
    await group.run(random.integer(400));
  }
}

const seeds = [];
for (let seed = 1; seed <= 24; seed++) seeds.push(seed);

// Three founders grow to five voters, and there are standbys. One voter is
// lost, an empty process starts at another address, and changes continue. Then
// all processes lose power right after a change was accepted, two voters lose
// their disks, and all restart in random order and freeze from time to time. In
// no order may the group stay without a leader or lose an accepted change.
for (const seed of seeds) {
  test(`a replacement, then two lost disks, in order ${seed}`, async t => {
    const random = createRandom(seed);
    const group = createTestGroup(3, {...options, seed});
    const standbys = ['d', 'e', 'f', 'g'].slice(0, 2 + random.integer(3));
    for (const name of standbys) group.add(name);
    for (const name of shuffle(group.names, random)) await group.start(name);
    await group.run(4_000);

    const votersOf = async () => {
      const {consensus} = group.member(await group.elect());
      return consensus!.status().voters.map(({name}) => name);
    };
    const lost = random.pick(await votersOf());
    group.kill(lost, random);
    await group.run(1_500);
    group.add('y');
    await group.start('y');
    await group.run(6_000);
    for (let at = 0; at < 20; at++) t.true(await accept(group, `${at}`));

    const remaining = group.names.filter(name => name !== lost);
    const voters = (await votersOf()).filter(name => name !== lost);
    const wiped = shuffle(voters, random).slice(0, 2);
    for (const name of remaining) group.kill(name, random);
    for (const name of wiped) group.member(name).disk.wipe();
    await group.run(1_200);
    for (const name of shuffle(remaining, random)) {
      await group.run(random.integer(150));
      await group.start(name);
    }
    await freezeAtRandom(group, remaining, random);
    t.true(await accept(group, 'after'));
    const {journal} = group.member(await group.elect());
    const texts = new Set(journal.entries.map(({text}) => text));
    for (let at = 0; at < 20; at++) t.true(texts.has(`${at}`), `${at}`);
  });
}

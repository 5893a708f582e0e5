import test from 'ava';
import {createRandom} from '../random/random.js';
import type {Random} from '../random/random.js';
import {createTestGroup} from './fakes/group.js';
import type {TestGroup} from './fakes/group.js';

/** Milliseconds in which a group that bears its losses accepts a change again. */
const recovery = 15_000;

/** Milliseconds after the return in which processes stand still now and then. */
const unsteady = 6_000;

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

/** Sends a change to whoever leads until it is accepted; false when it is not. */
async function accept(
  group: TestGroup,
  text: string,
  limit = recovery,
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

/** Lets processes stand still and go on by chance, then all go on. */
async function unsettle(
  group: TestGroup,
  names: readonly string[],
  random: Random,
): Promise<void> {
  const end = group.timers.now() + unsteady;
  while (group.timers.now() < end) {
    const name = random.pick(names);
    group.freeze(name);
    await group.run(100 + random.integer(700));
    group.thaw(name);
    await group.run(random.integer(400));
  }
}

const plays = [];
for (let seed = 1; seed <= 24; seed++) plays.push(seed);

// Three founders grow to five voters, others stand ready. One voter is gone for
// good, an empty process comes at another address, changes go on. Then all power
// is lost at once, two voters' disks with it, right after a change was accepted;
// all come back in any order and stand still now and then. No order may leave
// the group without a leader, or take an accepted change back.
for (const seed of plays) {
  test(`a replacement, then two lost disks, in order ${seed}`, async t => {
    const random = createRandom(seed);
    const group = createTestGroup(3, {...options, seed});
    const ready = ['d', 'e', 'f', 'g'].slice(0, 2 + random.integer(3));
    for (const name of ready) group.add(name);
    for (const name of shuffle(group.names, random)) await group.start(name);
    await group.run(4_000);

    const votersOf = async () => {
      const {consensus} = group.member(await group.elect());
      return consensus!.status().voters.map(({name}) => name);
    };
    const gone = random.pick(await votersOf());
    group.kill(gone, random);
    await group.run(1_500);
    group.add('y');
    await group.start('y');
    await group.run(6_000);
    for (let at = 0; at < 20; at++) t.true(await accept(group, `${at}`));

    const left = group.names.filter(name => name !== gone);
    const voters = (await votersOf()).filter(name => name !== gone);
    const wiped = shuffle(voters, random).slice(0, 2);
    for (const name of left) group.kill(name, random);
    for (const name of wiped) group.member(name).disk.wipe();
    await group.run(1_200);
    for (const name of shuffle(left, random)) {
      await group.run(random.integer(150));
      await group.start(name);
    }
    await unsettle(group, left, random);
    t.true(await accept(group, 'after'));
    const {journal} = group.member(await group.elect());
    const texts = new Set(journal.entries.map(({text}) => text));
    for (let at = 0; at < 20; at++) t.true(texts.has(`${at}`), `${at}`);
  });
}

import test from 'ava';
import {startTestGroup} from './fakes/group.js';
import type {TestGroup} from './fakes/group.js';

async function proposeMany(group: TestGroup, count: number): Promise<void> {
  const {consensus} = group.member(group.leader()!);
  const calls = Array.from({length: count}, (_, at) =>
    consensus!.propose(Buffer.from(`change ${at}`)),
  );
  const results = await group.settled(Promise.all(calls));
  if (!results.every(({ok}) => ok)) throw new Error('not all were accepted');
}

const digestOf = (group: TestGroup, name: string) =>
  group.member(name).journal.digest();

test('a snapshot and the log after it give the same digest as the whole log', async t => {
  const digests = new Set<string>();
  for (const snapshotEntries of [7, 1000]) {
    const group = await startTestGroup(3, {snapshotEntries});
    for (let at = 0; at < 10; at++) await proposeMany(group, 3);
    const before = digestOf(group, group.leader()!);
    for (const name of group.names) group.kill(name);
    for (const name of group.names) await group.start(name);
    const leader = await group.elect();
    await group.settled(group.member(leader).consensus!.readBarrier());
    t.is(digestOf(group, leader), before);
    digests.add(
      JSON.stringify(
        group.member(leader).journal.entries.map(({text}) => text),
      ),
    );
  }
  t.is(digests.size, 1);
});

/** Breaks a snapshot off in the middle, then starts the member again. */
async function interruptSnapshot(atomicReplace: boolean) {
  const diskOptions = {atomicReplace};
  const group = await startTestGroup(1, {snapshotEntries: 10, diskOptions});
  await proposeMany(group, 15);
  const one = group.member('a');
  one.disk.interruptReplace('snapshot');
  for (let at = 0; at < 12 && one.failure === undefined; at++) {
    await group.propose('a', `after ${at}`);
  }
  group.kill('a');
  const outcome = await group.start('a').then(
    () => 'started',
    () => 'refused',
  );
  return {group, outcome};
}

test('an interrupted snapshot leaves the old one usable; written in place it would not', async t => {
  // The process dies while it writes a snapshot. On its next start it must find
  // the old snapshot and the log after it; half a snapshot is of no use.
  const safe = await interruptSnapshot(true);
  t.is(safe.outcome, 'started');
  await safe.group.elect();
  t.true((await safe.group.propose('a', 'goes on')).ok);
  t.true(safe.group.member('a').journal.entries.length >= 16);

  const unsafe = await interruptSnapshot(false);
  t.is(unsafe.outcome, 'refused');
});

/** Sizes of the leader's log on disk over 300 changes, each 10. */
async function watchLog(snapshotEntries: number) {
  const group = await startTestGroup(3, {snapshotEntries});
  const sizes: number[] = [];
  for (let at = 0; at < 30; at++) {
    await proposeMany(group, 10);
    sizes.push(group.member(group.leader()!).disk.size('log'));
  }
  const status = group.member(group.leader()!).consensus!.status();
  return {
    early: Math.max(...sizes.slice(0, 10)),
    late: Math.max(...sizes.slice(10)),
    kept: status.lastIndex - status.snapshotIndex,
  };
}

test('the log stays bounded under endless changes; without snapshots it grows', async t => {
  const bounded = await watchLog(20);
  t.true(bounded.late <= 2 * bounded.early);
  t.true(bounded.kept <= 40);
  const endless = await watchLog(1e9);
  t.true(endless.late > 2 * endless.early);
  t.true(endless.kept >= 300);
});

test('a member that missed more than the log holds gets a snapshot', async t => {
  // A control VM is off while more changes pass than the others keep in their
  // logs. It must reach the same state, then follow as before.
  const group = await startTestGroup(3, {snapshotEntries: 20});
  const leader = group.leader()!;
  const late = group.names.find(name => name !== leader)!;
  group.kill(late);
  for (let at = 0; at < 10; at++) await proposeMany(group, 10);
  await group.start(late);
  await group.run(2000);
  t.true(group.member(late).consensus!.status().snapshotIndex > 50);
  t.true((await group.propose(leader, 'after')).ok);
  await group.run(200);
  t.is(digestOf(group, late), digestOf(group, leader));

  group.kill(late);
  await group.start(late);
  await group.run(500);
  t.is(digestOf(group, late), digestOf(group, leader));
});

test('a follower behind the start of the log is not told to commit what it lacks', async t => {
  // A follower is cut off while a new leader is elected and drops the log that
  // the follower would need. The next heartbeat speaks of an entry whose term
  // the leader no longer knows; taken for a match, the follower would commit
  // entries that it never got, and fail on the first of them.
  const group = await startTestGroup(3, {snapshotEntries: 5});
  const old = group.leader()!;
  const late = group.names.find(name => name !== old)!;
  group.isolate(late);
  await proposeMany(group, 2);
  group.kill(old);
  await group.start(old);
  const leader = await group.elect();
  group.network.decide((_source, target, message) => {
    const {kind} = message as {kind: string};
    return target === late && kind === 'snapshot-part' ? 'drop' : 'deliver';
  });
  await proposeMany(group, 10);
  group.network.heal();
  await group.run(1000);
  const {commitIndex, lastIndex} = group.member(late).consensus!.status();
  t.true(commitIndex <= lastIndex);
  group.network.decide(() => 'deliver');
  await group.run(2000);
  t.is(digestOf(group, late), digestOf(group, leader));
});

test('a snapshot of many parts arrives whole though links break on the way', async t => {
  const group = await startTestGroup(3, {snapshotEntries: 4});
  const leader = group.leader()!;
  const late = group.names.find(name => name !== leader)!;
  group.kill(late);
  for (let at = 0; at < 12; at++) {
    await group.propose(leader, 'x'.repeat(100_000));
  }
  let parts = 0;
  group.network.decide((_source, _target, message) => {
    const isPart = (message as {kind: string}).kind === 'snapshot-part';
    if (!isPart) return 'deliver';
    parts++;
    return parts % 3 === 0 ? 'drop' : parts % 4 === 0 ? 'double' : 'deliver';
  });
  await group.start(late);
  await group.run(20_000);
  t.true(parts > 9);
  t.is(digestOf(group, late), digestOf(group, leader));
});

import test from 'ava';
import {consensusCodes} from './codes.js';
import {startTestGroup} from './fakes/group.js';
import type {TestGroup} from './fakes/group.js';

const textsOf = (group: TestGroup, name: string) =>
  group.member(name).journal.entries.map(({text}) => text);

const rolesOf = (group: TestGroup, names: readonly string[]) =>
  names.map(name => group.member(name).consensus!.status().role);

const isRecovered = (group: TestGroup, name: string) => () => {
  const {role, voters, learners} = group.member(name).consensus!.status();
  return role === 'follower' && voters.length === 3 && learners.length === 0;
};

/**
 * One member is behind, another loses its disk and restarts with an empty
 * folder, and the third is killed. Only the emptied member could form a
 * majority with the one that is behind.
 */
async function loseDiskThenVm(storageIdentity: boolean) {
  const group = await startTestGroup(3, {safeguards: {storageIdentity}});
  const leader = group.leader()!;
  const [emptied, late] = group.names.filter(name => name !== leader);
  group.isolate(late!);
  const accepted = await group.propose(leader, 'accepted');
  group.kill(emptied!);
  group.member(emptied!).disk.wipe();
  group.kill(leader);
  group.network.heal();
  await group.start(emptied!);
  await group.run(10_000);
  return {group, leader, emptied: emptied!, late: late!, accepted};
}

test('an emptied voter does not help to elect a leader that lacks an accepted change', async t => {
  // Two of three VMs accept a change. One of them gets a new, empty disk and
  // the other one dies. If the emptied member voted, the third VM would become
  // leader without the change, and the accepted change would be lost.
  const safe = await loseDiskThenVm(true);
  t.true(safe.accepted.ok);
  t.false(rolesOf(safe.group, [safe.emptied, safe.late]).includes('leader'));

  const unsafe = await loseDiskThenVm(false);
  t.true(unsafe.accepted.ok);
  const next = unsafe.group.leader()!;
  t.truthy(next);
  await unsafe.group.propose(next, 'later');
  t.deepEqual(textsOf(unsafe.group, next), ['later']);
});

test('a second VM can be lost right after the recovery of the first', async t => {
  // A voter restarts with an empty folder, becomes a learner, and is a voter
  // again once it holds the whole log. At that moment another VM is lost with
  // its disk.
  const {group, leader, emptied, late} = await loseDiskThenVm(true);
  await group.start(leader);
  await group.until(isRecovered(group, emptied));
  const next = group.leader()!;
  const second = next === emptied ? late : next;
  group.kill(second);
  group.member(second).disk.wipe();
  const last = await group.elect();
  t.true((await group.propose(last, 'later')).ok);
  t.deepEqual(textsOf(group, last), ['accepted', 'later']);

  await group.start(second);
  await group.until(isRecovered(group, second));
  t.deepEqual(textsOf(group, second), ['accepted', 'later']);
});

test('an emptied voter is a learner until it holds the whole log', async t => {
  const group = await startTestGroup(3);
  const leader = group.leader()!;
  const emptied = group.names.find(name => name !== leader)!;
  for (let at = 0; at < 20; at++) await group.propose(leader, `${at}`);
  group.kill(emptied);
  group.member(emptied).disk.wipe();
  const seen = new Set<string>();
  await group.start(emptied);
  const {consensus, journal} = group.member(emptied);
  consensus!.onRoleChange(({role}) => {
    if (role === 'follower') t.true(journal.entries.length === 20);
    seen.add(role);
  });
  t.is(consensus!.status().role, 'learner');
  await group.until(isRecovered(group, emptied));
  t.true(seen.has('follower'));
});

test('the data folder of another member is refused at the start', async t => {
  const group = await startTestGroup(3);
  for (const name of group.names) group.kill(name);
  group.swapDisks('a', 'b');
  const error = await t.throwsAsync(group.start('a'), {any: true});
  const {code} = error as unknown as {code: unknown};
  t.is(code, consensusCodes.foreignFolder);
});

test('a member with a data folder of another group has no vote and is ignored', async t => {
  // The disk of a test system is attached to a production VM of the same name.
  const other = await startTestGroup(3);
  await other.propose(other.leader()!, 'foreign');
  const group = await startTestGroup(3);
  const leader = group.leader()!;
  const name = group.names.find(member => member !== leader)!;
  group.kill(name);
  other.kill(name);
  group.useDisk(name, other.member(name).disk);
  await group.start(name);
  await group.run(5000);
  t.is(group.leader(), leader);
  t.true((await group.propose(leader, 'own')).ok);
  t.not(group.member(name).consensus!.status().role, 'leader');
  t.false(textsOf(group, leader).includes('foreign'));
});

test('a group is formed only when all founders are connected', async t => {
  // Two members with empty folders can't distinguish a new group from one that
  // lost two disks while its third member, which holds the log, is unreachable.
  const group = await startTestGroup(3);
  const leader = group.leader()!;
  await group.propose(leader, 'accepted');
  group.isolate(leader);
  const emptied = group.names.filter(name => name !== leader);
  for (const name of emptied) {
    group.kill(name);
    group.member(name).disk.wipe();
    await group.start(name);
  }
  await group.run(10_000);
  t.deepEqual(rolesOf(group, emptied), ['learner', 'learner']);
  group.network.heal();
  await group.run(10_000);
  t.deepEqual(rolesOf(group, emptied), ['learner', 'learner']);
});

import test from 'ava';
import {createTestGroup, startTestGroup} from './fakes/group.js';
import type {TestGroup} from './fakes/group.js';

/** Settings of a deployment that must tolerate the loss of two disks. */
const toleratesTwo = {faultTolerance: 2};

async function startFive(): Promise<TestGroup> {
  const group = await startTestGroup(3, toleratesTwo);
  for (const name of ['d', 'e']) {
    group.add(name);
    await group.start(name);
  }
  return group;
}

async function accept(group: TestGroup, text: string): Promise<void> {
  const accepted = await group.propose(await group.elect(), text);
  if (!accepted.ok) throw new Error(`${text}: ${accepted.message}`);
}

// All callers are refused permanently after a power outage in which two control
// VMs lost their disks, although the settings require the group to tolerate
// that. The group was founded by three processes and never added the others, so
// one voter of three was left and there was no quorum.
test('a group survives a power outage in which two disks are lost', async t => {
  const group = await startFive();
  await group.run(3_000);
  await accept(group, 'before');
  for (const name of group.names) group.kill(name);
  for (const name of ['a', 'b']) group.member(name).disk.wipe();
  for (const name of group.names) await group.start(name);
  await accept(group, 'after');
  const texts = group
    .member(group.leader()!)
    .journal.entries.map(({text}) => text);
  t.deepEqual(texts, ['before', 'after']);
});

test('a group adds connected processes until it tolerates the losses, and no more', async t => {
  const group = await startFive();
  for (const name of ['f', 'g']) {
    group.add(name);
    await group.start(name);
  }
  await group.run(5_000);
  const {voters, learners} = group.member(group.leader()!).consensus!.status();
  t.is(voters.length, 5);
  t.deepEqual(learners, []);
});

test('without the setting a group keeps its founders only', async t => {
  const group = await startTestGroup(3);
  group.add('d');
  await group.start('d');
  await group.run(5_000);
  t.is(group.member(group.leader()!).consensus!.status().voters.length, 3);
});

// A failure domain with two of five voters is lost, so the group tolerates only
// one more loss. A standby in an otherwise unused domain should have been added
// instead.
test('a group adds voters in failure domains that have none yet', async t => {
  const group = createTestGroup(3, {faultTolerance: 2});
  for (const name of ['d', 'e', 'f']) group.add(name);
  const {failureDomain} = group.member('a').member;
  Object.assign(group.member('d').member, {failureDomain});
  for (const name of ['d', 'e', 'f', 'a', 'b', 'c']) await group.start(name);
  await group.elect();
  await group.run(5_000);
  const {voters} = group.member(group.leader()!).consensus!.status();
  const names = voters.map(({name}) => name).sort();
  t.deepEqual(names, ['a', 'b', 'c', 'e', 'f']);
});

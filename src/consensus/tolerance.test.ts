import test from 'ava';
import {createTestGroup, startTestGroup} from './fakes/group.js';
import type {TestGroup} from './fakes/group.js';

/** A deployment that must bear two lost disks, as its settings say. */
const bearsTwo = {faultTolerance: 2};

async function startFive(): Promise<TestGroup> {
  const group = await startTestGroup(3, bearsTwo);
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

// All callers are refused for good after the VMs are back. Two control VMs lose
// their disks while everything loses power, which settings say must be borne.
// The group had been founded by three processes and never took in the others
// that ran beside them, so one voter of three was left and no quorum came.
test('two disks lost at once, with all power, leave the group able to go on', async t => {
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

test('a group takes in those that call until it bears its losses, and no more', async t => {
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

test('without the setting a group stays as it was founded', async t => {
  const group = await startTestGroup(3);
  group.add('d');
  await group.start('d');
  await group.run(5_000);
  t.is(group.member(group.leader()!).consensus!.status().voters.length, 3);
});

// A failure domain is lost with two voters of five in it, where another process
// stood ready in a domain of its own: the group would bear only one loss more.
test('a group grows into failure domains that hold no voter yet', async t => {
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

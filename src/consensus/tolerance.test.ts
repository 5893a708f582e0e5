import test from 'ava';
import {startTestGroup} from './fakes/group.js';
import type {TestGroup} from './fakes/group.js';

/** A deployment that must bear two lost disks, as its settings say. */
const bearsTwo: object = {faultTolerance: 2};

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

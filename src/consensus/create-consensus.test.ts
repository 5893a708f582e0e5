import test from 'ava';
import {consensusCodes} from './codes.js';
import {startTestGroup} from './fakes/group.js';
import {protocolVersion} from './messages.js';

test('a group of three elects one leader that all members know', async t => {
  const group = await startTestGroup(3);
  const leader = group.leader()!;
  await group.run(200);
  for (const name of group.names) {
    t.is(group.member(name).consensus!.status().leader, leader);
  }
});

test('an accepted entry is applied by all members in the same order', async t => {
  const group = await startTestGroup(3);
  const leader = group.leader()!;
  for (const text of ['one', 'two', 'three']) {
    t.true((await group.propose(leader, text)).ok);
  }
  await group.run(100);
  for (const name of group.names) {
    const {entries} = group.member(name).journal;
    t.deepEqual(
      entries.map(({text}) => text),
      ['one', 'two', 'three'],
    );
  }
});

test('a member that is not the leader refuses and names the leader', async t => {
  const group = await startTestGroup(3);
  const leader = group.leader()!;
  await group.run(100);
  const other = group.names.find(name => name !== leader)!;
  const result = await group.propose(other, 'x');
  t.false(result.ok);
  if (result.ok) return;
  t.is(result.code, consensusCodes.notLeader);
  t.true(result.message.includes(`the leader is ${leader}`));
});

test('accepted entries survive a kill of all members', async t => {
  const group = await startTestGroup(3);
  t.true((await group.propose(group.leader()!, 'kept')).ok);
  for (const name of group.names) group.kill(name);
  for (const name of group.names) await group.start(name);
  const leader = await group.elect();
  t.true((await group.propose(leader, 'next')).ok);
  await group.run(100);
  for (const name of group.names) {
    const texts = group.member(name).journal.entries.map(({text}) => text);
    t.deepEqual(texts, ['kept', 'next']);
  }
});

test('a read barrier on any member covers all accepted entries', async t => {
  const group = await startTestGroup(3);
  const answer = await group.propose(group.leader()!, 'x');
  const index = Number(answer.ok && Buffer.from(answer.value).toString());
  for (const name of group.names) {
    const read = group.member(name).consensus!.readBarrier();
    const result = await group.settled(read);
    t.true(result.ok && result.value >= index);
  }
});

test('a group of one member accepts changes alone', async t => {
  const group = await startTestGroup(1);
  t.true((await group.propose('a', 'x')).ok);
  const read = await group.settled(group.member('a').consensus!.readBarrier());
  t.true(read.ok);
});

test('messages of a member with another protocol version are ignored', async t => {
  // Half of the VMs run a newer release whose messages have another meaning.
  const group = await startTestGroup(3);
  const [first] = group.names;
  const {member, consensus} = group.member(first!);
  const other = {name: 'b', address: '10.0.0.9:7000', failureDomain: 'x'};
  const {storage} = consensus!
    .status()
    .voters.find(({name}) => name === 'b') as unknown as {storage: string};
  const network = group.network.from('newer');
  for (const protocol of [protocolVersion + 1, protocolVersion]) {
    const before = consensus!.status().term;
    const link = await group.settled(network.connect(member.address));
    link.send({kind: 'hello', protocol, member: other, storage});
    link.send({
      kind: 'snapshot-taken',
      term: 90,
      index: 0,
      offset: 0,
      round: 0,
    });
    await group.run(20);
    const isAccepted = consensus!.status().term > before;
    t.is(isAccepted, protocol === protocolVersion);
  }
});

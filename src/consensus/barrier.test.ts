import test from 'ava';
import {consensusCodes} from './codes.js';
import {startTestGroup} from './fakes/group.js';
import type {Append} from './messages.js';

/** Reads at a leader that was cut off while another accepted a change. */
async function readAtCutOff(quorumRead: boolean) {
  const group = await startTestGroup(3, {
    safeguards: {quorumRead, checkQuorum: false},
  });
  const old = group.leader()!;
  group.isolate(old);
  const others = group.names.filter(name => name !== old);
  const isLeader = (name: string) =>
    group.member(name).consensus!.status().role === 'leader';
  await group.until(() => others.some(isLeader));
  const accepted = await group.propose(others.find(isLeader)!, 'newer');
  const index = Number(accepted.ok && Buffer.from(accepted.value).toString());
  const read = group.member(old).consensus!.readBarrier();
  let value: number | undefined;
  void read.then(result => {
    if (result.ok) value = result.value;
  });
  await group.run(5000);
  return {index, value};
}

test('a cut-off leader proves nothing current; without the quorum round it serves the past', async t => {
  // A control VM is isolated while it leads. The others accept a change. A node
  // that restarts beside the old leader would be handed the older version.
  const safe = await readAtCutOff(true);
  t.is(safe.value, undefined);
  const unsafe = await readAtCutOff(false);
  t.true(unsafe.value! < unsafe.index);
});

test('many readers on all members share a few quorum rounds', async t => {
  const group = await startTestGroup(3);
  await group.run(200);
  const rounds = new Set<number>();
  group.network.decide((_source, _target, message) => {
    const {kind, round} = message as Append;
    if (kind === 'append') rounds.add(round);
    return 'deliver';
  });
  const reads = group.names.flatMap(name =>
    Array.from({length: 200}, () =>
      group.member(name).consensus!.readBarrier(),
    ),
  );
  const results = await group.settled(Promise.all(reads));
  t.true(results.every(({ok}) => ok));
  t.true(rounds.size <= 8, `${rounds.size} rounds`);
});

test('without a majority a read ends with a code instead of waiting', async t => {
  const group = await startTestGroup(3);
  const [first, ...others] = group.names;
  for (const name of others) group.kill(name);
  const read = group.member(first!).consensus!.readBarrier();
  const result = await group.settled(read);
  t.false(result.ok);
  if (!result.ok) t.is(result.code, consensusCodes.noQuorum);
});

import test from 'ava';
import {createProcessGroup} from './process-group.js';
import type {ProcessGroup} from './process-group.js';

// The members are processes on loopback with data folders on disk. The tests
// send signals to simulate faults. No assertion depends on elapsed time.

// Milliseconds; long enough that a busy machine causes no additional election.
const electionTimeout = 2000;
const changes = 60;

/** Proposes a change to the leader until it is accepted; returns the leader. */
async function accept(group: ProcessGroup, text: string): Promise<string> {
  let leader = '';
  await group.until(async () => {
    leader = await group.leader();
    const request = {kind: 'propose', name: text, text} as const;
    const {value} = await group.ask(leader, request);
    return value === true;
  });
  return leader;
}

async function has(group: ProcessGroup, name: string, text: string) {
  const {value} = await group.ask(name, {kind: 'get', name: text});
  return value === text;
}

const isVoter = (group: ProcessGroup, name: string) => async () => {
  const {role, voters, learners} = await group.view(name);
  return role !== 'learner' && voters.length === 3 && learners.length === 0;
};

test('kill -9 of the leader loses no accepted change, and a second VM may fail right after the repair', async t => {
  // The leader's VM fails, loses its disk and restarts with an empty one. Once
  // it is a voter again, a second VM fails with its disk. A majority remains,
  // and it includes the repaired member, which must hold all accepted changes.
  const group = await createProcessGroup({
    size: 3,
    snapshotEntries: 25,
    electionTimeout,
  });
  t.teardown(() => group.stop());
  for (let at = 0; at < changes; at++) await accept(group, `change-${at}`);
  const first = await group.leader();
  await group.kill(first);
  await group.wipe(first);
  const second = await accept(group, 'while away');

  await group.start(first);
  await group.until(isVoter(group, first));
  await group.kill(second);
  await group.wipe(second);

  const third = await accept(group, 'after');
  for (const text of ['change-0', 'change-59', 'while away', 'after']) {
    t.true(await has(group, third, text), text);
  }
});

test('kill -9 of all processes loses no accepted change', async t => {
  const group = await createProcessGroup({
    size: 3,
    snapshotEntries: 25,
    electionTimeout,
  });
  t.teardown(() => group.stop());
  for (let at = 0; at < changes; at++) await accept(group, `change-${at}`);
  await Promise.all(group.names.map(name => group.kill(name)));
  await Promise.all(group.names.map(name => group.start(name)));
  const next = await accept(group, 'after');
  for (const text of ['change-0', 'change-59', 'after']) {
    t.true(await has(group, next, text), text);
  }
});

test('a suspended leader accepts no change, serves no stale read and follows once it resumes', async t => {
  // The leader is suspended with SIGSTOP while a change and a read are on their
  // way to it. The other members elect a new leader. After SIGCONT the old
  // leader must neither accept the change nor answer the read with stale state.
  const group = await createProcessGroup({size: 3, electionTimeout});
  t.teardown(() => group.stop());
  const old = await accept(group, 'before');
  group.signal(old, 'SIGSTOP');
  const late = group.ask(old, {kind: 'propose', name: 'late', text: 'late'});
  const read = group.ask(old, {kind: 'read'});
  const next = await accept(group, 'meanwhile');
  t.not(next, old);
  const {commitIndex} = await group.view(next);

  group.signal(old, 'SIGCONT');
  const outcome = await late;
  t.is(outcome.value, undefined);
  t.truthy(outcome.code);
  const {value} = await read;
  t.true(value === undefined || (value as number) >= commitIndex);
  await group.until(() => has(group, old, 'meanwhile'));
  await accept(group, 'still');
  await group.until(() => has(group, old, 'still'));
  for (const name of group.names) t.false(await has(group, name, 'late'));
});

test('a member is replaced while changes go on', async t => {
  const group = await createProcessGroup({
    size: 3,
    spares: 1,
    electionTimeout,
  });
  t.teardown(() => group.stop());
  const leader = await group.leader();
  const leaving = group.names.slice(0, 3).find(name => name !== leader)!;
  const joining = group.names[3]!;
  await group.start(joining);
  const isReplaced = async () => {
    const {voters} = await group.view(await group.leader());
    return voters.includes(joining) && !voters.includes(leaving);
  };
  await group.until(async () => {
    await group.ask(await group.leader(), {
      kind: 'replace',
      leaving,
      joining: group.memberOf(joining),
    });
    return isReplaced();
  });
  await group.kill(leaving);
  await accept(group, 'after');
  await group.until(() => has(group, joining, 'after'));
  t.true(await isReplaced());
});

import test from 'ava';
import {createProcessGroup} from './process-group.js';
import type {ProcessGroup} from './process-group.js';

// Real processes with real folders on loopback; faults by signals to processes
// that the test started itself. No assertion depends on elapsed time.

// Long, so that a busy machine does not bring an election of its own.
const electionTimeout = 2000;
const changes = 60;

/** Sends a change to whoever leads until it is accepted; returns the leader. */
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

const isCounted = (group: ProcessGroup, name: string) => async () => {
  const {role, voters, learners} = await group.view(name);
  return role !== 'learner' && voters.length === 3 && learners.length === 0;
};

test('kill -9 of the leader loses no accepted change, and a second VM may go right after the repair', async t => {
  // The leader's VM dies with its disk and comes back empty. Once it counts
  // again, another VM dies with its disk. Two are left, one of them repaired.
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
  await group.until(isCounted(group, first));
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

test('a frozen leader accepts nothing, serves nothing old and follows when it goes on', async t => {
  // SIGSTOP while it leads, with a change and a read on their way to it; the
  // others go on without it; then SIGCONT.
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

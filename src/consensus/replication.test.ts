import test from 'ava';
import {createRandom} from '../random/random.js';
import {consensusCodes} from './codes.js';
import {createCore} from './core.js';
import type {Core} from './core.js';
import {allSafeguards} from './core-state.js';
import type {Action, Safeguards} from './core-state.js';
import {startTestGroup} from './fakes/group.js';
import type {Append, Entry, Message, Voter} from './messages.js';

/** Bytes of entries sent to a frozen follower while the others accept. */
async function feedFrozen(flowControl: boolean) {
  const group = await startTestGroup(3, {safeguards: {flowControl}});
  const leader = group.leader()!;
  const frozen = group.names.find(name => name !== leader)!;
  let bytes = 0;
  group.network.decide((_source, target, message) => {
    const {kind, entries} = message as Append;
    if (kind !== 'append' || target !== frozen) return 'deliver';
    for (const entry of entries) {
      if (entry.kind === 'command') bytes += entry.data.length;
    }
    return 'deliver';
  });
  group.freeze(frozen);
  let accepted = 0;
  for (let at = 0; at < 100; at++) {
    const result = await group.propose(leader, 'x'.repeat(40_000));
    if (result.ok) accepted++;
  }
  const sent = bytes;
  group.thaw(frozen);
  await group.run(5000);
  const digests = group.names.map(name => group.member(name).journal.digest());
  return {bytes: sent, accepted, digests: new Set(digests).size};
}

test('a frozen follower holds a bounded part of the backlog and does not stall the leader', async t => {
  // One control VM stands still while changes go on. The leader must neither
  // wait for it nor pile up the whole backlog on its link.
  const safe = await feedFrozen(true);
  t.deepEqual([safe.accepted, safe.digests], [100, 1]);
  t.true(safe.bytes <= 8 * 128 * 1024);
  const unsafe = await feedFrozen(false);
  t.true(unsafe.bytes >= 100 * 40_000);
});

test('changes beyond the limits are refused as not run instead of piling up', async t => {
  // The majority is away for a moment while programs go on sending changes.
  for (const limits of [{openLimit: 10}, {openBytesLimit: 10}]) {
    const group = await startTestGroup(3, limits);
    const {consensus} = group.member(group.leader()!);
    const calls = Array.from({length: 20}, () =>
      consensus!.propose(Buffer.from('x')),
    );
    const results = await group.settled(Promise.all(calls));
    const refused = results.filter(result => !result.ok);
    t.is(refused.length, 10);
    for (const result of refused) {
      if (!result.ok) t.is(result.code, consensusCodes.overloaded);
    }
    t.true((await group.propose(group.leader()!, 'later')).ok);
  }
});

const founders: Voter[] = ['a', 'b', 'c'].map((name, at) => ({
  name,
  storage: `folder-${name}`,
  address: `10.0.0.${at + 1}:7000`,
  failureDomain: name,
}));

const peerOf = (name: string) => ({name, storage: `folder-${name}`});

const command = (index: number, term: number): Entry => ({
  kind: 'command',
  index,
  term,
  data: Buffer.from(`${index} of ${term}`),
});

/** Member a, whose log holds `entries`, right after it won `term`. */
function createLeader(
  entries: readonly Entry[],
  term: number,
  safeguards: Partial<Safeguards> = {},
): Core {
  const membership = {voters: founders, learners: []};
  const snapshot = {index: 0, term: 0, membership, data: Buffer.alloc(0)};
  const core = createCore(
    {
      self: peerOf('a'),
      random: createRandom(1),
      heartbeat: 50,
      electionTimeout: 500,
      safeguards: {...allSafeguards, ...safeguards},
    },
    {
      vote: {term: term - 1, votedFor: undefined},
      snapshot,
      baseIndex: 0,
      baseTerm: 0,
      entries,
      formed: true,
    },
  );
  core.handle({kind: 'tick'}, 0);
  core.handle({kind: 'tick'}, 2000);
  for (const trial of [true, false]) {
    receive(core, 'b', {kind: 'vote-answer', term, trial, granted: true});
  }
  return core;
}

function receive(core: Core, name: string, message: Message): Action[] {
  const event = {kind: 'receive', from: peerOf(name), message} as const;
  return core.handle(event, 2000);
}

function acknowledge(core: Core, name: string, matchIndex: number): Action[] {
  return receive(core, name, {
    kind: 'appended',
    term: core.state.term,
    accepted: true,
    matchIndex,
    previousIndex: 0,
    round: 0,
  });
}

/** A new leader whose old entry reaches a majority before its own first one. */
function replicateOldEntry(ownTermCommit: boolean): Core {
  const entries = [command(1, 1), command(2, 2)];
  const core = createLeader(entries, 4, {ownTermCommit});
  core.handle({kind: 'synced', index: 3, epoch: core.state.log.epoch}, 2000);
  acknowledge(core, 'b', 2);
  return core;
}

test('an entry of an earlier term counts only once one of the own term does', t => {
  // Entry 2 of term 2 is on two of three members, yet c holds another entry 2
  // of term 3. Were it called committed now and a died, c could still win term
  // 5 with its newer entry and overwrite what was accepted.
  const safe = replicateOldEntry(true);
  t.is(safe.state.commitIndex, 0);
  acknowledge(safe, 'b', 3);
  t.is(safe.state.commitIndex, 3);

  const unsafe = replicateOldEntry(false);
  t.is(unsafe.state.commitIndex, 2);
});

/** A new leader that is asked to change members before its first commit. */
function changeEarly(ownTermChange: boolean) {
  const core = createLeader([command(1, 1)], 2, {ownTermChange});
  const joining = {...founders[0]!, name: 'd', storage: 'folder-d'};
  return core.replace('c', joining, 2000).answer;
}

test('members change only after the leader committed an entry of its own term', t => {
  // Two leaders in turn each append a change to the same old membership. If the
  // second may do so before it knows that its own term reaches a majority, the
  // majorities of the two changes need not meet, and both could commit.
  t.is(changeEarly(true), 'busy');
  t.is(changeEarly(false), 'begun');
});

import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createClaimTable} from './claim-table.js';
import type {Acquire, Notice, Settle, Settlement} from './messages.js';

const retention = 10_000;

function start() {
  const timers = createFakeTimers();
  const limits = {retention, claims: 100, watchers: 2};
  return {timers, limits, table: createClaimTable(timers, limits)};
}

function acquire(key: string, claim: string, lease = 1000): Acquire {
  const fingerprint = 'order';
  const work = {service: 'stock-desk', epoch: 1, key, fingerprint, claim};
  return {kind: 'acquire', lease, ...work};
}

function settle(key: string, claim: string, settlement: Settlement): Settle {
  const work = {service: 'stock-desk', key, fingerprint: 'order', claim};
  return {kind: 'settle', settlement, ...work};
}

function answered(text: string): Settlement {
  const answer = {status: 200, headers: [], body: Buffer.from(text)};
  return {kind: 'answered', answer};
}

// Failure: a keeper with few claims uses gigabytes of memory. The received
// bytes of an answer are a view of the socket's chunk, and a stored view keeps
// the whole chunk in memory.
test('a stored answer does not share memory with the received bytes', t => {
  const {table} = start();
  const chunk = Buffer.alloc(65_536, 'booked');
  const body = chunk.subarray(0, 6);
  const answer = {status: 200, headers: [], body};
  table.settle(settle('key', 'a', {kind: 'answered', answer}));
  chunk.fill(0);
  const vote = table.vote(acquire('key', 'b'));
  if (vote.kind !== 'answered') return t.fail(vote.kind);
  t.is(Buffer.from(vote.answer!.body).toString(), 'booked');
});

test('a stored body keeps bytes of all values', t => {
  const {table} = start();
  const body = Uint8Array.from({length: 256}, (_, index) => index);
  const answer = {status: 200, headers: [], body};
  table.settle(settle('key', 'a', {kind: 'answered', answer}));
  const vote = table.vote(acquire('key', 'b'));
  if (vote.kind !== 'answered') return t.fail(vote.kind);
  t.deepEqual([...vote.answer!.body], [...body]);
});

// Failure: a key is blocked although no gate runs its work. A gate gives up,
// and its release overtakes its acquire message on a newer link.
test('a claim that was released before its acquire arrives is not granted', t => {
  const {table} = start();
  table.settle(settle('key', 'a', {kind: 'released'}));
  t.is(table.vote(acquire('key', 'a')).kind, 'stale');
  t.is(table.vote(acquire('key', 'b')).kind, 'granted');
});

test('a late answer replaces an unknown outcome, but not the reverse', t => {
  const {table} = start();
  table.settle(settle('key', 'a', {kind: 'abandoned'}));
  t.is(table.vote(acquire('key', 'b')).kind, 'abandoned');
  table.settle(settle('key', 'a', answered('booked')));
  table.settle(settle('key', 'a', {kind: 'abandoned'}));
  t.is(table.vote(acquire('key', 'b')).kind, 'answered');
});

test('after a merge of two competing claims neither is granted', t => {
  const {table} = start();
  const other = start();
  table.vote(acquire('key', 'a'));
  other.table.vote(acquire('key', 'b'));
  table.merge([...other.table.records()]);
  t.is(table.vote(acquire('key', 'a')).kind, 'held');
  t.is(table.vote(acquire('key', 'b')).kind, 'held');
  table.settle(settle('key', 'b', {kind: 'released'}));
  t.is(table.vote(acquire('key', 'a')).kind, 'granted');
});

test('a copied claim keeps its age', t => {
  const {timers, limits, table} = start();
  table.settle(settle('old', 'a', answered('booked')));
  timers.advance(6000);
  const copy = createClaimTable(timers, limits);
  copy.settle(settle('new', 'b', answered('booked')));
  copy.merge([...table.records()]);
  copy.sort();
  timers.advance(5000);
  copy.sweep();
  t.is(copy.size, 1);
  t.is(copy.vote(acquire('new', 'c')).kind, 'answered');
});

test('waiting gates are notified of a settlement or an expiry', t => {
  const {timers, table} = start();
  const notices: string[] = [];
  const watcher = ({settlement}: Notice) => notices.push(settlement.kind);
  table.vote(acquire('one', 'a'));
  table.vote(acquire('one', 'b'), watcher);
  table.settle(settle('one', 'a', answered('booked')));
  table.vote(acquire('two', 'a'));
  table.vote(acquire('two', 'b'), watcher);
  timers.advance(1000);
  table.sweep();
  t.deepEqual(notices, ['answered', 'expired']);
});

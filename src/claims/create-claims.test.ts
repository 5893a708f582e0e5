import test from 'ava';
import type {KeeperAssignment} from '../configuration/configuration.js';
import {settle} from '../time/fakes/fake-timers.js';
import type {Acquisition} from './claims.js';
import {createClaimCluster} from './fakes/claim-cluster.js';
import type {ClaimCluster, ClusterOptions} from './fakes/claim-cluster.js';

async function startSet(
  options: ClusterOptions = {},
): Promise<ClaimCluster & {first: KeeperAssignment}> {
  const cluster = createClaimCluster(options);
  const members = [];
  for (const name of ['k1', 'k2', 'k3']) {
    members.push(await cluster.startKeeper(name));
  }
  const first = {epoch: 1, members};
  cluster.assign(first);
  return {...cluster, first};
}

/** Lets time pass until an acquisition is decided. */
async function resolve(
  cluster: ClaimCluster,
  acquisition: Promise<Acquisition>,
  time = 1100,
): Promise<string> {
  await cluster.timers.advanceAsync(time);
  const outcome = await acquisition;
  if (outcome.kind !== 'refused') return outcome.kind;
  return `${outcome.code.name} ${outcome.code.effect}`;
}

test('a resend through another gate gets the first answer', async t => {
  const cluster = await startSet();
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  t.is(await resolve(cluster, cluster.submit(a, 'key')), 'granted');
  t.is(await resolve(cluster, cluster.submit(b, 'key')), 'answered');
  t.is(cluster.runs.get('key'), 1);
});

test('a resend waits for the run in flight and gets its answer', async t => {
  const cluster = await startSet();
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  void cluster.submit(a, 'key', 'answer', {work: 300});
  await cluster.timers.advanceAsync(50);
  t.is(await resolve(cluster, cluster.submit(b, 'key')), 'answered');
  t.is(cluster.runs.get('key'), 1);
});

test('a resend whose deadline ends during the run is told unknown', async t => {
  const cluster = await startSet();
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  void cluster.submit(a, 'key', 'answer', {work: 900});
  await cluster.timers.advanceAsync(50);
  const resend = cluster.submit(b, 'key', 'answer', {timeout: 200});
  t.is(await resolve(cluster, resend, 300), 'run-in-flight unknown');
  t.is(cluster.runs.get('key'), 1);
});

test('the same key with another request is refused', async t => {
  const cluster = await startSet();
  const gate = cluster.startGate('a');
  await resolve(cluster, cluster.submit(gate, 'key'));
  const other = cluster.submit(gate, 'key', 'answer', {fingerprint: 'other'});
  t.is(await resolve(cluster, other), 'key-reused not-run');
});

test('a released claim leaves the key free', async t => {
  const cluster = await startSet();
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  await resolve(cluster, cluster.submit(a, 'key', 'release'));
  t.is(cluster.runs.get('key'), undefined);
  t.is(await resolve(cluster, cluster.submit(b, 'key')), 'granted');
  t.is(cluster.runs.get('key'), 1);
});

// The gate dies with its claim at three moments. The resend comes through
// another gate and must never run the work again: nobody can tell whether the
// dead gate's bytes reached the upstream.
for (const course of [
  'die-before-run',
  'die-during-run',
  'die-after-run',
] as const) {
  test(`a resend after its gate did ${course} does not run`, async t => {
    const cluster = await startSet();
    const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
    await resolve(cluster, cluster.submit(a, 'key', course), 100);
    const resend = await resolve(cluster, cluster.submit(b, 'key'), 5000);
    t.true((cluster.runs.get('key') ?? 0) <= 1);
    t.regex(resend, /unknown|answered/);
  });
}

test('a lost answer is told unknown and not run again', async t => {
  const cluster = await startSet();
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  await resolve(cluster, cluster.submit(a, 'key', 'lose-answer'));
  t.is(
    await resolve(cluster, cluster.submit(b, 'key')),
    'run-outcome-unknown unknown',
  );
  t.is(cluster.runs.get('key'), 1);
});

test('one dead keeper of three changes nothing for callers', async t => {
  const cluster = await startSet();
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  cluster.killKeeper('k1');
  t.is(await resolve(cluster, cluster.submit(a, 'key')), 'granted');
  t.is(await resolve(cluster, cluster.submit(b, 'key')), 'answered');
});

test('with two of three keepers gone keyed work is refused unrun', async t => {
  const cluster = await startSet();
  const gate = cluster.startGate('a');
  cluster.killKeeper('k1');
  cluster.killKeeper('k2');
  t.is(
    await resolve(cluster, cluster.submit(gate, 'key')),
    'keepers-unavailable not-run',
  );
  t.is(cluster.runs.size, 0);
});

test('claims that meet let one of them win', async t => {
  const cluster = await startSet();
  const gates = ['a', 'b', 'c', 'd'].map(name => cluster.startGate(name));
  const outcomes = gates.map(gate => cluster.submit(gate, 'key'));
  await cluster.timers.advanceAsync(1100);
  const kinds = (await Promise.all(outcomes)).map(({kind}) => kind).sort();
  t.deepEqual(kinds, ['answered', 'answered', 'answered', 'granted']);
  t.is(cluster.runs.get('key'), 1);
});

test('a full keeper refuses new keys and keeps the old ones', async t => {
  const cluster = await startSet({claims: 2});
  const gate = cluster.startGate('a');
  await resolve(cluster, cluster.submit(gate, 'key-1'));
  await resolve(cluster, cluster.submit(gate, 'key-2'));
  t.is(
    await resolve(cluster, cluster.submit(gate, 'key-3')),
    'keepers-full not-run',
  );
  t.is(await resolve(cluster, cluster.submit(gate, 'key-1')), 'answered');
});

test('a claim is forgotten after its retention, not before', async t => {
  const cluster = await startSet({retention: 60_000});
  const gate = cluster.startGate('a');
  await resolve(cluster, cluster.submit(gate, 'key'));
  await cluster.timers.advanceAsync(55_000);
  t.is(await resolve(cluster, cluster.submit(gate, 'key')), 'answered');
  await cluster.timers.advanceAsync(61_000);
  t.is(cluster.keepers.get('k1')!.keeper.size, 0);
});

/**
 * The caller books through gate a and loses the answer; meanwhile the gates
 * see different keepers: a reaches only k1, b only k2 and k3.
 */
async function bookAcrossPartition(options: ClusterOptions): Promise<number> {
  const cluster = await startSet(options);
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  for (const [gate, keeper] of [
    ['a', 'k2'],
    ['a', 'k3'],
    ['b', 'k1'],
  ]) {
    cluster.network.cut(gate!, keeper!);
    cluster.network.cut(keeper!, gate!);
  }
  void cluster.submit(a, 'key', 'lose-answer');
  await cluster.timers.advanceAsync(3000);
  void cluster.submit(b, 'key');
  await cluster.timers.advanceAsync(3000);
  return cluster.runs.get('key') ?? 0;
}

// What the caller sees: two bookings for one key. Order: a partition lets gate
// a reach one keeper and gate b the two others; each would run on one vote. A
// majority can't be had on both sides.
test('without a majority a partition books twice; with it, once', async t => {
  t.is(await bookAcrossPartition({votesNeeded: () => 1}), 2);
  t.is(await bookAcrossPartition({}), 1);
});

/**
 * Gate a books with the votes of k1 and k2 while k3 can't be reached, and
 * loses the answer. Then k1 restarts, empty, under its old address, k2 can't
 * be reached, and the caller resends.
 */
async function bookAcrossRestart(options: ClusterOptions): Promise<number> {
  const cluster = await startSet(options);
  const {network, timers} = cluster;
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  network.cut('a', 'k3');
  void cluster.submit(a, 'key', 'lose-answer');
  await timers.advanceAsync(100);
  cluster.killGate(a);
  cluster.killKeeper('k1');
  await cluster.startKeeper('k1');
  network.cut('b', 'k2');
  void cluster.submit(b, 'key');
  await timers.advanceAsync(5000);
  return cluster.runs.get('key') ?? 0;
}

// What the caller sees: two bookings for one key. Order: k1 forgets its vote
// by a restart and votes again with k3, which never knew. A keeper's life is
// part of its name, so the new life's vote does not count in the old set.
test('without incarnations a restarted keeper lets work run twice', async t => {
  t.is(await bookAcrossRestart({keeperSafeguards: {incarnation: false}}), 2);
  t.is(await bookAcrossRestart({}), 1);
});

test('nothing is granted before a keeper set is known', async t => {
  const cluster = createClaimCluster();
  const gate = cluster.startGate('a');
  const outcome = cluster.submit(gate, 'key');
  await settle();
  t.is(await resolve(cluster, outcome), 'keepers-unavailable not-run');
});

// What the caller sees: each booking refused, for ever. Order: the upstream
// announces itself under an id of its own, the set is made of such ids, and no
// keeper finds itself in it. A keeper knows itself by its address and life.
test('a keeper votes whatever id its upstream chose', async t => {
  const cluster = createClaimCluster();
  const members = [];
  for (const name of ['k1', 'k2', 'k3']) {
    const keeper = await cluster.startKeeper(name);
    members.push({...keeper, instance: `upstream-of-${name}`});
  }
  cluster.assign({epoch: 1, members});
  const gate = cluster.startGate('a');
  t.is(await resolve(cluster, cluster.submit(gate, 'key')), 'granted');
});

import test from 'ava';
import type {Keeper, KeeperAssignment} from '../configuration/configuration.js';
import {claimCodes} from './codes.js';
import {createClaimCluster} from './fakes/claim-cluster.js';
import type {ClaimCluster, ClusterOptions} from './fakes/claim-cluster.js';
import type {Envelope} from './messages.js';

async function startSet(options: ClusterOptions = {}) {
  const cluster = createClaimCluster(options);
  const members: Keeper[] = [];
  for (const name of ['k1', 'k2', 'k3']) {
    members.push(await cluster.startKeeper(name));
  }
  const first: KeeperAssignment = {epoch: 1, members};
  cluster.assign(first);
  return {...cluster, first};
}

function replaceMember(
  set: KeeperAssignment,
  instance: string,
  next: Keeper,
): KeeperAssignment {
  const members = set.members.map(member =>
    member.instance === instance ? next : member,
  );
  const previous = {epoch: set.epoch, members: set.members};
  return {epoch: set.epoch + 1, members, previous};
}

async function ask(cluster: ClaimCluster, gateName: string): Promise<string> {
  const gate = cluster.startGate(gateName);
  const pending = cluster.submit(gate, 'key');
  await cluster.timers.advanceAsync(4000);
  const outcome = await pending;
  return outcome.kind === 'refused' ? outcome.code.name : outcome.kind;
}

/**
 * Books with the votes of k1 and k2 while k3 is unreachable. Then k1 and k2 are
 * replaced one after the other, without a failure, until no keeper is left that
 * voted for the booking.
 */
async function bookAcrossReplacements(
  options: ClusterOptions,
): Promise<number> {
  const cluster = await startSet(options);
  const {network, timers} = cluster;
  const gate = cluster.startGate('a');
  network.cut('a', 'k3');
  void cluster.submit(gate, 'key', 'lose-answer');
  await timers.advanceAsync(100);
  cluster.killGate(gate);
  network.heal();
  let set = cluster.first;
  for (const [old, next] of [
    ['k1', 'k4'],
    ['k2', 'k5'],
  ]) {
    set = replaceMember(set, old!, await cluster.startKeeper(next!));
    cluster.assign(set);
    await timers.advanceAsync(500);
  }
  await ask(cluster, 'b');
  return cluster.runs.get('key') ?? 0;
}

// Failure: two bookings for one key. The keepers that voted for the first
// booking are replaced, and the new ones do not have its claim. In the handover
// each new keeper copies the claims of a sealed majority of the previous set.
test('a change of keepers leads to two bookings only without the handover', async t => {
  t.is(await bookAcrossReplacements({keeperSafeguards: {handover: false}}), 2);
  t.is(await bookAcrossReplacements({}), 1);
});

test('a restarted keeper votes again in the next epoch', async t => {
  const cluster = await startSet();
  const gate = cluster.startGate('a');
  void cluster.submit(gate, 'key');
  await cluster.timers.advanceAsync(100);
  cluster.killKeeper('k1');
  const again = await cluster.startKeeper('k1');
  const second = replaceMember(cluster.first, 'k1', again);
  cluster.assign(second);
  await cluster.timers.advanceAsync(500);
  t.is(cluster.keepers.get('k1')!.keeper.size, 1);
  // k1 and k2 are a majority of the new set, so k3 can fail now.
  cluster.killKeeper('k3');
  t.is(await ask(cluster, 'b'), 'answered');
  t.is(cluster.runs.get('key'), 1);
});

// Failure: a booking is lost or runs twice because the keepers change while it
// is in progress and the caller resends it. Gate a still uses epoch 1 after k2
// and k3 were sealed for epoch 2; it must retry in epoch 2, where the resend
// is. Either of the two may run; the other one gets its answer.
test('a gate with an old epoch neither loses a key nor runs one twice', async t => {
  const cluster = await startSet();
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  const second = replaceMember(
    cluster.first,
    'k1',
    await cluster.startKeeper('k4'),
  );
  cluster.assign(second, ['k2', 'k3', 'k4', 'b']);
  await cluster.timers.advanceAsync(100);
  const late = cluster.submit(a, 'key');
  await cluster.timers.advanceAsync(100);
  const early = cluster.submit(b, 'key');
  await cluster.timers.advanceAsync(100);
  cluster.assign(second, ['a', 'k1']);
  await cluster.timers.advanceAsync(2000);
  const kinds = [(await early).kind, (await late).kind].sort();
  t.deepEqual(kinds, ['answered', 'granted']);
  t.is(cluster.runs.get('key'), 1);
});

test('a set refuses claims if its predecessor lost two of three keepers', async t => {
  const cluster = await startSet();
  cluster.killKeeper('k1');
  cluster.killKeeper('k2');
  const fresh = await cluster.startKeeper('k4');
  cluster.assign(replaceMember(cluster.first, 'k1', fresh));
  await cluster.timers.advanceAsync(1000);
  t.is(await ask(cluster, 'b'), 'keepers-unavailable');
  t.is(cluster.runs.size, 0);
});

// Two of three keepers lost their claims, and those of k3 alone are incomplete.
// The next set waits for the retention time, after which no lost claim is
// resent any more. Until then it refuses keyed requests as not run, with a
// separate code.
test('after a loss the next set votes only after the retention time', async t => {
  const cluster = await startSet({retention: 60_000});
  cluster.killKeeper('k1');
  cluster.killKeeper('k2');
  const members = [
    await cluster.startKeeper('k1'),
    await cluster.startKeeper('k2'),
    cluster.first.members[2]!,
  ];
  cluster.assign({epoch: 2, members, quarantine: 60_000});
  t.is(await ask(cluster, 'b'), 'keepers-lost');
  await cluster.timers.advanceAsync(60_000);
  t.is(await ask(cluster, 'c'), 'granted');
});

test('a quarantine continues after a further change of keepers', async t => {
  const cluster = await startSet({retention: 60_000});
  cluster.killKeeper('k1');
  cluster.killKeeper('k2');
  const members = [
    await cluster.startKeeper('k1'),
    await cluster.startKeeper('k2'),
    cluster.first.members[2]!,
  ];
  const second = {epoch: 2, members, quarantine: 60_000};
  cluster.assign(second);
  await cluster.timers.advanceAsync(1000);
  cluster.assign(replaceMember(second, 'k1', await cluster.startKeeper('k4')));
  await cluster.timers.advanceAsync(30_000);
  t.is(await ask(cluster, 'b'), 'keepers-lost');
  await cluster.timers.advanceAsync(30_000);
  t.is(await ask(cluster, 'c'), 'granted');
});

test('a handover of several pages is complete', async t => {
  const cluster = await startSet();
  const gate = cluster.startGate('a');
  for (let index = 0; index < 600; index++) {
    void cluster.submit(gate, `key-${index}`);
  }
  await cluster.timers.advanceAsync(2000);
  const fresh = await cluster.startKeeper('k4');
  cluster.assign(replaceMember(cluster.first, 'k1', fresh));
  await cluster.timers.advanceAsync(500);
  t.is(cluster.keepers.get('k4')!.keeper.size, 600);
});

// Failure: keyed requests are refused during a partition from control. The
// leader replaced k1, and only k4 received the new set. k4 sends the set to k2
// and k3 with its seal, and they report it to the gate.
test('a gate that is cut off from control learns of a new set from keepers', async t => {
  const cluster = await startSet();
  const gate = cluster.startGate('a');
  cluster.killKeeper('k1');
  const fresh = await cluster.startKeeper('k4');
  cluster.assign(replaceMember(cluster.first, 'k1', fresh), ['k4']);
  await cluster.timers.advanceAsync(500);
  cluster.killKeeper('k3');
  const booked = cluster.submit(gate, 'key');
  await cluster.timers.advanceAsync(500);
  t.is((await booked).kind, 'granted');
  t.is(cluster.keepers.get('k4')!.keeper.size, 1);
});

/**
 * The set changes from k1, k2, k3 to k4, k2, k3. Gate a and k1, whose links
 * from the other keepers are cut, have not received the new set, and gate a
 * can't reach k3. Gate b has received it and can't reach k2. Both gates book.
 */
async function bookInTwoEpochs(options: ClusterOptions): Promise<number> {
  const cluster = await startSet(options);
  const {network, timers} = cluster;
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  const fresh = await cluster.startKeeper('k4');
  const second = replaceMember(cluster.first, 'k1', fresh);
  for (const other of ['k2', 'k3', 'k4']) network.cut(other, 'k1');
  cluster.assign(second, ['k2', 'k3', 'k4', 'b']);
  await timers.advanceAsync(100);
  network.cut('a', 'k3');
  network.cut('b', 'k2');
  void cluster.submit(a, 'key', 'lose-answer');
  void cluster.submit(b, 'key', 'lose-answer');
  await timers.advanceAsync(3000);
  return cluster.runs.get('key') ?? 0;
}

// Failure: two bookings for one key through two gates. The set changes during
// the acquisitions: gate a counts the vote of k1 in the old set with that of k2
// in the new one, and gate b has k3 and k4. A majority may count votes of one
// epoch only.
test('a change of keepers during claims books twice only without epochs', async t => {
  t.is(await bookInTwoEpochs({keeperSafeguards: {epoch: false}}), 2);
  t.is(await bookInTwoEpochs({}), 1);
});

/**
 * Epoch 2 is k4, k2, k3; k4 is cut off while it synchronizes. Epoch 3 is k4,
 * k2, k5, and only k5 and k2 receive it: they seal k4 but can't reach k3. Then
 * k4 reaches k1 and k3 and completes its synchronization of epoch 2. Gate a
 * still uses epoch 2, and gate b uses epoch 3.
 */
async function bookBehindSeal(options: ClusterOptions): Promise<number> {
  const cluster = await startSet(options);
  const {network, timers} = cluster;
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  const fourth = await cluster.startKeeper('k4');
  const second = replaceMember(cluster.first, 'k1', fourth);
  for (const other of ['k1', 'k2', 'k3']) network.cut('k4', other);
  cluster.assign(second, ['k2', 'k3', 'k4', 'a']);
  await timers.advanceAsync(200);
  const fifth = await cluster.startKeeper('k5');
  const third = replaceMember(second, 'k3', fifth);
  for (const ahead of ['k2', 'k5']) network.cut(ahead, 'k3');
  cluster.assign(third, ['k5', 'k2', 'b']);
  await timers.advanceAsync(200);
  network.heal();
  for (const ahead of ['k2', 'k5', 'b']) network.cut(ahead, 'k3');
  network.cut('a', 'k2');
  await timers.advanceAsync(3000);
  void cluster.submit(a, 'key', 'lose-answer');
  await timers.advanceAsync(100);
  network.cut('b', 'k4');
  void cluster.submit(b, 'key', 'lose-answer');
  await timers.advanceAsync(3000);
  return cluster.runs.get('key') ?? 0;
}

// Failure: two bookings for one key. k4 is sealed in an epoch before it is
// active in it. Then it becomes active in that epoch and votes for a gate with
// the old set, while the next set already votes. The seal must hold for a
// keeper that completes its synchronization late.
test('a sealed keeper that synchronizes late allows a second run only without the seal', async t => {
  t.is(await bookBehindSeal({keeperSafeguards: {seal: false}}), 2);
  t.is(await bookBehindSeal({}), 1);
});

// Failure: two bookings for one key. k1 and k2 voted for the first, and k1
// crashes. k2 receives epoch 3 before epoch 2, in which it is a member too.
// Then k3 and k4 start epoch 2 and ask k2 for its claims of epoch 1, which it
// had dropped when it adopted epoch 3. 1500 random interleavings showed this.
test('a keeper that skips an epoch keeps the claims that the epoch needs', async t => {
  const cluster = await startSet();
  const {network, timers} = cluster;
  const [a, b] = [cluster.startGate('a'), cluster.startGate('b')];
  network.cut('a', 'k3');
  void cluster.submit(a, 'key', 'die-during-run');
  await timers.advanceAsync(100);
  cluster.killKeeper('k1');
  const fourth = await cluster.startKeeper('k4');
  const fifth = await cluster.startKeeper('k5');
  const second = replaceMember(cluster.first, 'k1', fourth);
  const third = replaceMember(second, 'k3', fifth);
  network.decide((source, _, message) => {
    const {question} = message as Partial<Envelope>;
    return source === 'k2' && question?.kind === 'seal' ? 'hold' : 'deliver';
  });
  cluster.assign(third, ['k2']);
  await timers.advanceAsync(100);
  cluster.assign(second, ['k3', 'k4']);
  await timers.advanceAsync(500);
  network.decide(() => 'deliver');
  network.release();
  cluster.assign(third);
  await timers.advanceAsync(3000);
  const resend = cluster.submit(b, 'key');
  await timers.advanceAsync(3000);
  const outcome = await resend;
  const code = outcome.kind === 'refused' ? outcome.code : undefined;
  t.is(code, claimCodes.outcomeUnknown);
  t.is(cluster.runs.get('key'), 1);
});

// Failure: a booking that was sent only once is refused as still running. Gate
// a has the vote of k2 when k3 is already between two epochs, and k3 and k4
// copy that vote from k2. A retry under another claim id would conflict with
// the first attempt at both of them. The benchmark of changing keepers showed
// this.
test('a claim does not conflict with itself when the keepers change', async t => {
  const cluster = await startSet();
  const {network, timers} = cluster;
  const gate = cluster.startGate('a');
  cluster.killKeeper('k1');
  const fourth = await cluster.startKeeper('k4');
  const second = replaceMember(cluster.first, 'k1', fourth);
  network.decide((_, target, message) => {
    const {question} = message as Partial<Envelope>;
    const isSeal = question?.kind === 'seal' && target === 'k2';
    return isSeal || question?.kind === 'settle' ? 'hold' : 'deliver';
  });
  cluster.assign(second, ['k3', 'k4']);
  await timers.advanceAsync(20);
  const booked = cluster.submit(gate, 'key');
  await timers.advanceAsync(5);
  network.decide(() => 'deliver');
  network.release();
  await timers.advanceAsync(2000);
  t.is((await booked).kind, 'granted');
  t.is(cluster.runs.get('key'), 1);
});

import test from 'ava';
import type {Keeper, KeeperAssignment} from '../configuration/configuration.js';
import type {DeliveryOutcome} from '../link/fakes/fake-network.js';
import {createRandom} from '../random/random.js';
import {createClaimCluster} from './fakes/claim-cluster.js';
import type {
  ClaimCluster,
  ClusterOptions,
  GateBehavior,
  Gate,
} from './fakes/claim-cluster.js';

const names = ['k1', 'k2', 'k3', 'k4', 'k5'];
const behaviors: GateBehavior[] = [
  'answer',
  'answer',
  'die-before-run',
  'die-during-run',
  'die-after-run',
  'lose-answer',
  'release',
];
const steps = 60;
/** Seeds that are tried to find a double run without a safeguard. */
const searchedSeeds = 600;

interface Tally {
  /** Number of keys whose work ran more than once. */
  doubled: number;
  ran: number;
  submitted: number;
  epochs: number;
}

/**
 * One random run: few keys, which are resent through gates that crash at any
 * moment; keepers that restart without claims; epochs that change during
 * acquisitions; messages that are lost, duplicated, delayed and reordered;
 * processes that learn of epochs late.
 */
async function runOnce(seed: number, options: ClusterOptions): Promise<Tally> {
  const cluster: ClaimCluster = createClaimCluster({seed, ...options});
  const random = createRandom(seed * 7919 + 1);
  const {network, timers} = cluster;
  const gates: Gate[] = [];
  let submitted = 0;
  for (const name of names) await cluster.startKeeper(name);
  const identityOf = (name: string) => cluster.keepers.get(name)!.identity;
  let set: KeeperAssignment = {
    epoch: 1,
    members: names.slice(0, 3).map(identityOf),
  };
  cluster.assign(set);
  for (const name of ['a', 'b', 'c']) gates.push(cluster.startGate(name));

  function submit(): void {
    const index = random.integer(gates.length);
    if (!gates[index]!.alive)
      gates[index] = cluster.startGate(gates[index]!.name);
    const key = `key-${random.integer(4)}`;
    const timeout = 50 + random.integer(400);
    const work = random.integer(30);
    submitted++;
    void cluster.submit(gates[index]!, key, random.pick(behaviors), {
      timeout,
      work,
    });
  }

  async function restartKeeper(): Promise<void> {
    const name = random.pick(names);
    cluster.killKeeper(name);
    await cluster.startKeeper(name);
  }

  function isLost(member: Keeper): boolean {
    const running = cluster.keepers.get(member.instance);
    return running?.identity.incarnation !== member.incarnation;
  }

  /** Replaces the lost members, or a random one, as a leader might do. */
  function changeSet(): void {
    const lost = set.members.filter(isLost);
    const outside = names.filter(
      name => !set.members.some(member => member.instance === name),
    );
    const others = set.members.filter(member => !isLost(member));
    const leaving = lost.length > 0 ? lost : [random.pick(set.members)];
    const joining =
      lost.length > 0
        ? lost.map(member => identityOf(member.instance))
        : [identityOf(random.pick(outside))];
    const staying = others.filter(member => !leaving.includes(member));
    const members = [...staying, ...joining];
    const {epoch} = set;
    set =
      lost.length > 1
        ? {epoch: epoch + 1, members, quarantine: 3_600_000}
        : {epoch: epoch + 1, members, previous: {epoch, members: set.members}};
    const receivers = [...names, 'a', 'b', 'c'].filter(
      () => random.integer(3) > 0,
    );
    cluster.assign(set, receivers);
  }

  function disturbNetwork(): void {
    const everyone = [...names, 'a', 'b', 'c'];
    const kind = random.integer(5);
    if (kind === 0) network.cut(random.pick(everyone), random.pick(everyone));
    if (kind === 1) network.heal();
    if (kind === 2) network.release(random.integer(2) === 0);
    if (kind > 2) network.decide(chooseOutcome);
  }

  function chooseOutcome(): DeliveryOutcome {
    const draw = random.integer(100);
    if (draw < 4) return 'drop';
    if (draw < 8) return 'double';
    return draw < 14 ? 'hold' : 'deliver';
  }

  for (let step = 0; step < steps; step++) {
    const draw = random.integer(20);
    if (draw < 10) submit();
    else if (draw < 12) disturbNetwork();
    else if (draw < 13) await restartKeeper();
    else if (draw < 15) changeSet();
    else if (draw < 16) cluster.assign(set);
    await timers.advanceAsync(random.integer(25));
  }
  network.decide(() => 'deliver');
  network.heal();
  network.release(true);
  cluster.assign(set);
  await timers.advanceAsync(3000);
  const counts = [...cluster.runs.values()];
  return {
    doubled: counts.filter(count => count > 1).length,
    ran: counts.length,
    submitted,
    epochs: set.epoch,
  };
}

async function runMany(seeds: number, options: ClusterOptions): Promise<Tally> {
  const sum: Tally = {doubled: 0, ran: 0, submitted: 0, epochs: 0};
  for (let seed = 1; seed <= seeds; seed++) {
    const tally = await runOnce(seed, options);
    sum.doubled += tally.doubled;
    sum.ran += tally.ran;
    sum.submitted += tally.submitted;
    sum.epochs += tally.epochs;
  }
  return sum;
}

// Failure: two bookings for one key. Gates crash before, during and after runs,
// answers are lost, keepers restart without claims, sets change during
// acquisitions, and messages are reordered. Runs per key are counted where work
// starts.
test('no key runs twice in any of the tried interleavings', async t => {
  const tally = await runMany(100, {});
  t.log(tally);
  t.is(tally.doubled, 0);
  t.true(tally.ran > 100);
});

/** The first seed with a double run; undefined if there is none. */
async function findDoubled(
  options: ClusterOptions,
): Promise<number | undefined> {
  for (let seed = 1; seed <= searchedSeeds; seed++) {
    const {doubled} = await runOnce(seed, options);
    if (doubled > 0) return seed;
  }
  return undefined;
}

const missing: ReadonlyArray<[string, ClusterOptions]> = [
  ['a majority of votes', {votesNeeded: () => 1}],
  ['the keeper’s incarnation', {keeperSafeguards: {incarnation: false}}],
  ['the handover of an epoch', {keeperSafeguards: {handover: false}}],
  ['the seal of an epoch', {keeperSafeguards: {seal: false}}],
  ['one active keeper', {keeperSafeguards: {active: false}}],
];

for (const [name, options] of missing) {
  test(`some interleaving runs work twice without ${name}`, async t => {
    const seed = await findDoubled(options);
    t.not(seed, undefined);
    t.log(`seed ${seed}`);
  });
}

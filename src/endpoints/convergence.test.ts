import test from 'ava';
import {createRandom} from '../random/random.js';
import type {Random} from '../random/random.js';
import {createFakeMesh, upstream} from './fakes/mesh.js';
import type {FakeHome, FakeMesh, FakeNode} from './fakes/mesh.js';
import type {RegistryOptions} from './registry.js';
import type {Safeguards} from './safeguards.js';

const second = 1000;
const homesByRegion = {
  astana: ['home-a', 'home-b', 'home-c'],
  muscat: ['home-d', 'home-e'],
} as const;
type Region = keyof typeof homesByRegion;
const services = ['crewbook', 'drillvault', 'stock-desk'];
const instanceCount = 24;
/** The number of instances that are never disturbed; they come first. */
const stableCount = 8;

/** An instance id, with the node that uses it now, if any. */
interface InstanceSlot {
  readonly name: string;
  readonly region: Region;
  readonly service: string;
  node: FakeNode | undefined;
  home: string;
}

interface TestCluster {
  readonly mesh: FakeMesh;
  readonly random: Random;
  readonly homes: FakeHome[];
  readonly slots: InstanceSlot[];
  readonly callers: FakeNode[];
}

async function startNode(
  cluster: TestCluster,
  slot: InstanceSlot,
): Promise<void> {
  slot.home = cluster.random.pick(homesByRegion[slot.region]);
  // Clocks are off by up to a minute in either direction.
  const clockOffset = cluster.random.integer(120 * second) - 60 * second;
  const {name, region, service} = slot;
  slot.node = await cluster.mesh.join(slot.home, name, upstream({service}), {
    region,
    clockOffset,
    services: [],
  });
}

async function startCluster(
  seed: number,
  options: Partial<RegistryOptions>,
): Promise<TestCluster> {
  const mesh = createFakeMesh(1_000_000_000, options);
  const random = createRandom(seed);
  const homes: FakeHome[] = [];
  const callers: FakeNode[] = [];
  for (const [region, names] of Object.entries(homesByRegion)) {
    for (const name of names) homes.push(await mesh.home(name, {region}));
  }
  for (const {name} of homes) {
    callers.push(await mesh.join(name, `caller-${name}`));
  }
  const slots = Array.from({length: instanceCount}, (_, index) => ({
    name: `instance-${index}`,
    region: random.pick(['astana', 'muscat'] as const),
    service: random.pick(services),
    node: undefined,
    home: '',
  }));
  const cluster = {mesh, random, homes, slots, callers};
  for (const slot of slots) await startNode(cluster, slot);
  await mesh.advance(5 * second);
  return cluster;
}

/** Crashes, restarts, withdraws, drains or moves one random instance. */
async function disturb(cluster: TestCluster): Promise<void> {
  const {random} = cluster;
  const slot =
    cluster.slots[stableCount + random.integer(instanceCount - stableCount)]!;
  const {node} = slot;
  if (node === undefined) return startNode(cluster, slot);
  switch (random.integer(5)) {
    case 0:
      node.kill();
      slot.node = undefined;
      return;
    case 1:
      node.kill();
      return startNode(cluster, slot);
    case 2:
      node.announcer.withdraw();
      await cluster.mesh.advance(3 * second);
      node.kill();
      slot.node = undefined;
      return;
    case 3:
      node.announcer.announce(
        upstream({service: slot.service, state: 'draining'}),
      );
      return;
    default:
      slot.home = random.pick(homesByRegion[slot.region]);
      return cluster.mesh.move(node, slot.home);
  }
}

function setPartition(cluster: TestCluster, isCut: boolean): void {
  const {network} = cluster.mesh;
  if (!isCut) return network.heal();
  for (const near of homesByRegion.astana) {
    for (const far of homesByRegion.muscat) {
      network.cut(near, far);
      network.cut(far, near);
    }
  }
}

/** Drops and duplicates some messages without closing links. */
function disturbMessages(cluster: TestCluster): void {
  const {random} = cluster;
  cluster.mesh.network.decide(() => {
    const chance = random.fraction();
    if (chance < 0.03) return 'drop';
    return chance < 0.06 ? 'double' : 'deliver';
  });
}

async function churn(cluster: TestCluster, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    await disturb(cluster);
    await cluster.mesh.advance(cluster.random.integer(4 * second));
  }
}

/** Disturbs instances before, during and after a partition, then lets it settle. */
async function runPartition(
  seed: number,
  safeguards: Partial<Safeguards> = {},
): Promise<TestCluster> {
  const cluster = await startCluster(seed, {safeguards});
  disturbMessages(cluster);
  await churn(cluster, 15);
  setPartition(cluster, true);
  await churn(cluster, 40);
  setPartition(cluster, false);
  await churn(cluster, 5);
  cluster.mesh.network.decide(() => 'deliver');
  await cluster.mesh.advance(90 * second);
  return cluster;
}

const describe = (home: FakeHome) =>
  home.registry
    .records()
    .map(({announcement}) => JSON.stringify({...announcement, since: 0}));

const describeLive = (instances: readonly object[]) =>
  instances.map(one => JSON.stringify({...one, since: 0}));

function haveEqualTables({homes}: TestCluster): boolean {
  const tables = homes.map(home => describe(home).join('\n'));
  return new Set(tables).size === 1;
}

for (const seed of [1, 2, 3, 4]) {
  test(`all tables are the same after a partition of minutes, seed ${seed}`, async t => {
    // Two regions are partitioned for about 80 s. On both sides instances crash,
    // restart with wrong clocks, drain, leave and move between homes, and messages
    // are lost and duplicated. After the regions reconnect, all homes must have
    // the same table, each node the table of its home, and each live instance the
    // state that it announced last.
    const cluster = await runPartition(seed);
    t.true(haveEqualTables(cluster));
    const [home] = cluster.homes;
    for (const [index, caller] of cluster.callers.entries()) {
      const {registry} = cluster.homes[index]!;
      for (const service of services) {
        t.deepEqual(
          describeLive(caller.table.instances(service)),
          describeLive(registry.instances(service)),
        );
      }
    }
    const records = new Map(
      home!.registry
        .records()
        .map(({announcement}) => [announcement.instance, announcement]),
    );
    for (const {name, node} of cluster.slots) {
      if (node === undefined) continue;
      t.is(records.get(name)?.state, node.announcer.current()!.state);
    }
  });
}

test('without the comparison of digests the tables remain different', async t => {
  const clusters = [
    await runPartition(1, {comparison: false}),
    await runPartition(2, {comparison: false}),
  ];
  t.true(clusters.some(cluster => !haveEqualTables(cluster)));
});

/** A home crashes, its nodes attach to others, and it restarts empty. */
async function restartHome(cluster: TestCluster): Promise<void> {
  const {mesh, random, homes, slots, callers} = cluster;
  const index = random.integer(homes.length);
  const {name} = homes[index]!;
  const region: Region =
    index < homesByRegion.astana.length ? 'astana' : 'muscat';
  const others = homesByRegion[region].filter(other => other !== name);
  homes[index]!.kill();
  await mesh.advance(second + random.integer(3 * second));
  for (const slot of slots) {
    if (slot.home !== name || slot.node === undefined) continue;
    slot.home = random.pick(others);
    await mesh.move(slot.node, slot.home);
  }
  await mesh.move(callers[index]!, random.pick(others));
  await mesh.advance(random.integer(20 * second));
  homes[index] = await mesh.home(name, {region});
  await mesh.advance(random.integer(10 * second));
  await mesh.move(callers[index]!, name);
}

/** Counts how often an undisturbed instance was missing from a caller's table. */
function watchStable(cluster: TestCluster): () => number {
  let lost = 0;
  for (const {table} of cluster.callers) {
    table.onChange(() => {
      for (const {name, service} of cluster.slots.slice(0, stableCount)) {
        const instances = table.instances(service);
        if (!instances.some(one => one.instance === name)) lost++;
      }
    });
  }
  return () => lost;
}

/** Homes crash and restart while instances change and messages are lost. */
async function runHomeCrashes(
  seed: number,
  options: Partial<RegistryOptions> = {},
) {
  const cluster = await startCluster(seed, options);
  const lost = watchStable(cluster);
  disturbMessages(cluster);
  for (let round = 0; round < 5; round++) {
    await churn(cluster, 4);
    await restartHome(cluster);
  }
  cluster.mesh.network.decide(() => 'deliver');
  await cluster.mesh.advance(90 * second);
  return {cluster, lost: lost()};
}

for (const seed of [1, 2]) {
  test(`homes that crash and restart lose no live instance, seed ${seed}`, async t => {
    // Five times a home crashes and restarts empty while instances crash, restart
    // and move. Eight instances work all the time; only their homes crash. None of
    // the eight may be missing from a caller's table at any time, and in the end
    // all tables must be the same. If leases ended with their homes, callers would
    // lose these instances at the first crash.
    const {cluster, lost} = await runHomeCrashes(seed);
    t.is(lost, 0);
    t.true(haveEqualTables(cluster));

    const withoutOrphanLease = await runHomeCrashes(seed, {
      orphanLease: 0,
      expiryShare: 1,
    });
    t.true(withoutOrphanLease.lost > 0);
  });
}

import test from 'ava';
import {putService} from '../src/configuration/fakes/sample.js';
import {createHomeConnection} from '../src/distribution/home-connection.js';
import {createSubscriber} from '../src/distribution/subscriber.js';
import {createSilentLog} from '../src/log/log.js';
import {createRandom} from '../src/random/random.js';
import type {Random} from '../src/random/random.js';
import {createCluster} from './cluster.js';
import type {Cluster} from './cluster.js';

const seeds = 10;
const nodeNames = ['node-1', 'node-2', 'node-3', 'node-4'];
/** Milliseconds within which an accepted change must be in force at all nodes. */
const maxDelay = 2_000;
/** Milliseconds after the last fault from which `maxDelay` holds. */
const settlingTime = 3_000;
/** Periods of a node with which `maxDelay` holds. */
const periods = {heartbeat: 400, freshness: 1_200, maxReconnectDelay: 300};

function startNodes(cluster: Cluster, seed: number): void {
  const {timers, network} = cluster;
  const log = createSilentLog();
  const addresses = [...cluster.controls.values()].map(({address}) => address);
  for (const [index, name] of nodeNames.entries()) {
    const random = createRandom(seed * 100 + index);
    const home = createHomeConnection({
      ...{timers, log, random, ...periods},
      network: network.from(name),
      homes: [...addresses.slice(index % 3), ...addresses.slice(0, index % 3)],
      self: {kind: 'node', name, failureDomain: 'hall-a', region: 'astana'},
    });
    const subscriber = createSubscriber({timers, log, random, home});
    const versions: number[] = [];
    subscriber.onSwitch(({version}) => versions.push(version));
    cluster.nodes.set(name, {name, home, subscriber, versions});
  }
}

/** Has a change accepted by one of `controls` that leads; returns its version. */
async function accept(
  cluster: Cluster,
  controls: readonly string[],
): Promise<number | undefined> {
  const edits = [putService(`service-${cluster.timers.now()}`)];
  const command = cluster.prepare('amina', edits);
  const leader = controls.find(name => {
    const status = cluster.control(name).life()?.consensus.status();
    return status?.role === 'leader';
  });
  if (leader === undefined) return undefined;
  return (await cluster.send(leader, command))?.version;
}

/** Cuts the leader off from the other control VMs, not from the nodes. */
function cutLeaderOff(cluster: Cluster, leader: string): void {
  const {name} = cluster.control(leader);
  for (const other of cluster.controls.values()) {
    if (other.name === name) continue;
    cluster.network.cut(name, other.name);
    cluster.network.cut(other.name, name);
  }
}

async function restart(
  cluster: Cluster,
  names: readonly string[],
  random: Random,
): Promise<void> {
  for (const name of names) cluster.control(name).kill();
  await cluster.timers.advanceAsync(300 + random.integer(1_300));
  for (const name of names) void cluster.control(name).start();
}

/**
 * Returns the changes that were in force too late after the control VMs beside a
 * leader that was cut off had restarted.
 */
async function findLateChanges(
  seed: number,
  isCutEnding: boolean,
): Promise<string[]> {
  const random = createRandom(seed);
  const cluster = createCluster();
  const {timers, network} = cluster;
  await cluster.startControls();
  network.silenceAfterCut();
  startNodes(cluster, seed);
  await timers.advanceAsync(2_000);
  const all = [...cluster.controls.keys()];
  const leader = cluster.leader()!;
  const others = all.filter(name => name !== leader);
  await accept(cluster, [leader]);
  cutLeaderOff(cluster, leader);
  const cutEnd = timers.now() + 3_000 + random.integer(4_000);
  while (timers.now() < cutEnd) {
    await accept(cluster, others);
    await timers.advanceAsync(200 + random.integer(500));
  }
  const restarted = restart(cluster, others, random);
  if (isCutEnding) network.heal();
  await restarted;
  const restartedAt = timers.now();
  const late: string[] = [];
  while (timers.now() - restartedAt < 8_000) {
    const version = await accept(cluster, isCutEnding ? all : others);
    const due = Math.max(timers.now() + maxDelay, restartedAt + settlingTime);
    await timers.advanceAsync(100);
    if (version === undefined) continue;
    const isInForce = () =>
      nodeNames.every(
        name => cluster.node(name).subscriber.current()!.version >= version,
      );
    while (!isInForce() && timers.now() < due) await timers.advanceAsync(20);
    if (!isInForce()) late.push(`version ${version} at ${timers.now()}`);
  }
  return late;
}

// Guards against nodes that use an old version for seconds: the leader is cut off
// and the others are killed, so all nodes attach to the former leader. The others
// come back and accept changes, while the former leader is still cut off, or its
// links stay silent after the cut.
for (const isCutEnding of [false, true]) {
  const cut = isCutEnding ? 'that ends' : 'that lasts';
  test(`changes are in force in time after restarts beside a cut ${cut}`, async t => {
    for (let seed = 1; seed <= seeds; seed++) {
      t.deepEqual(await findLateChanges(seed, isCutEnding), [], `seed ${seed}`);
    }
  });
}

import test from 'ava';
import {putService} from '../src/configuration/fakes/sample.js';
import {createRandom} from '../src/random/random.js';
import {createCluster} from './cluster.js';
import type {Cluster} from './cluster.js';

const vms = ['alpha', 'beta', 'gamma'];
const nodes = ['node-1', 'node-2', 'node-3', 'node-4', 'node-5'];
const steps = 25;
const seeds = 30;
/** Milliseconds. */
const waitTimeout = 120_000;
/** Result code of an accepted change. */
const accepted = 1000;

function isUpToDate(cluster: Cluster, name: string): boolean {
  const leader = cluster.leader();
  const life = cluster.control(name).life();
  if (leader === undefined || life === undefined) return false;
  const {consensus, machine} = cluster.control(leader).life()!;
  const memberName = cluster.control(name).name;
  const isVoter = consensus
    .status()
    .voters.some(voter => voter.name === memberName);
  return isVoter && life.machine.digest() === machine.digest();
}

async function restart(cluster: Cluster, name: string, isDiskLost: boolean) {
  const vm = cluster.control(name);
  vm.kill();
  if (isDiskLost) vm.loseDisk();
  const starting = vm.start();
  await cluster.until('the start of a process', () => vm.life() !== undefined);
  await starting;
}

/** Injects random faults and changes; resolves with the accepted services. */
async function injectFaults(cluster: Cluster, seed: number): Promise<string[]> {
  const random = createRandom(seed);
  const acceptedServices: string[] = [];
  let isCut = false;
  let repairing: string | undefined;

  async function change(number: number): Promise<void> {
    const name = `service-${number}`;
    const command = cluster.prepare('amina', [putService(name)]);
    const leader = cluster.leader();
    if (leader === undefined) return;
    const answer = await cluster.send(leader, command);
    if (answer?.code === accepted) acceptedServices.push(name);
  }

  async function act(number: number): Promise<void> {
    const name = random.pick(vms);
    const draw = random.integer(9);
    if (draw < 4) return change(number);
    if (draw === 4 && !isCut) cluster.cutOff(name);
    if (draw === 4) isCut = true;
    if (draw === 5) cluster.heal();
    if (draw === 5) isCut = false;
    if (draw === 6) return restart(cluster, name, false);
    const mayLoseDisk = !isCut && vms.every(vm => isUpToDate(cluster, vm));
    if (draw === 7 && repairing === undefined && mayLoseDisk) {
      repairing = name;
      return restart(cluster, name, true);
    }
    if (draw !== 8) return;
    const node = random.pick(nodes);
    cluster.stopNode(node);
    cluster.startNode(node, vms);
  }

  for (let number = 0; number < steps; number++) {
    await act(number);
    await cluster.timers.advanceAsync(random.integer(1500));
    if (repairing && isUpToDate(cluster, repairing)) repairing = undefined;
  }
  cluster.heal();
  return acceptedServices;
}

// Control VMs are killed, are cut off and lose their disks (the next one only
// after the last is repaired), and nodes restart, in random order and at the
// same time. Once the network heals, every accepted change must be in force at
// every node, and no node may have gone back to an older version.
for (let seed = 1; seed <= seeds; seed++) {
  test(`faults in random order, seed ${seed}`, async t => {
    const cluster = createCluster();
    await cluster.startControls();
    for (const name of nodes) cluster.startNode(name, vms);
    const acceptedServices = await injectFaults(cluster, seed);
    const areAllUpToDate = () => vms.every(name => isUpToDate(cluster, name));
    await cluster.until(
      'every VM with the current state',
      areAllUpToDate,
      waitTimeout,
    );
    const last = cluster.prepare('bolat', [putService('last')]);
    const answer = await cluster.submit(last);
    t.is(answer?.code, accepted);
    const versionOf = (name: string) =>
      cluster.node(name).subscriber.current()?.version;
    const isInForceEverywhere = () =>
      nodes.every(name => versionOf(name) === answer!.version);
    await cluster.until(
      'the last change in force at every node',
      isInForceEverywhere,
      waitTimeout,
    );
    for (const name of nodes) {
      const {versions} = cluster.node(name);
      const sorted = [...versions].sort((left, right) => left - right);
      t.deepEqual(versions, sorted);
      const {services} = cluster.node(name).subscriber.current()!;
      t.deepEqual(
        acceptedServices.filter(service => !services.has(service)),
        [],
      );
    }
  });
}

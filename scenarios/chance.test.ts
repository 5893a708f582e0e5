import test from 'ava';
import {putService} from '../src/configuration/fakes/sample.js';
import {createRandom} from '../src/random/random.js';
import {createCluster} from './cluster.js';
import type {Cluster} from './cluster.js';

const vms = ['alpha', 'beta', 'gamma'];
const nodes = ['node-1', 'node-2', 'node-3', 'node-4', 'node-5'];
const steps = 25;
const seeds = 30;
const patience = 120_000;
const accepted = 1000;

function isWhole(stage: Cluster, name: string): boolean {
  const leader = stage.leader();
  const life = stage.control(name).runningParts();
  if (leader === undefined || life === undefined) return false;
  const {consensus, machine} = stage.control(leader).runningParts()!;
  const own = stage.control(name).name;
  const votes = consensus.status().voters.some(voter => voter.name === own);
  return votes && life.machine.digest() === machine.digest();
}

async function restart(stage: Cluster, name: string, isDiskLost: boolean) {
  const vm = stage.control(name);
  vm.kill();
  if (isDiskLost) vm.loseDisk();
  const starting = vm.start();
  await stage.until('a start', () => vm.runningParts() !== undefined);
  await starting;
}

/** Services whose changes were accepted while chance had its way. */
async function disturb(stage: Cluster, seed: number): Promise<string[]> {
  const random = createRandom(seed);
  const kept: string[] = [];
  let cut = false;
  let repairing: string | undefined;

  async function change(number: number): Promise<void> {
    const name = `service-${number}`;
    const command = stage.prepare('amina', [putService(name)]);
    const leader = stage.leader();
    if (leader === undefined) return;
    const answer = await stage.send(leader, command);
    if (answer?.code === accepted) kept.push(name);
  }

  async function act(number: number): Promise<void> {
    const name = random.pick(vms);
    const draw = random.integer(9);
    if (draw < 4) return change(number);
    if (draw === 4 && !cut) stage.cutOff(name);
    if (draw === 4) cut = true;
    if (draw === 5) stage.heal();
    if (draw === 5) cut = false;
    if (draw === 6) return restart(stage, name, false);
    const mayLose = !cut && vms.every(vm => isWhole(stage, vm));
    if (draw === 7 && repairing === undefined && mayLose) {
      repairing = name;
      return restart(stage, name, true);
    }
    if (draw !== 8) return;
    const node = random.pick(nodes);
    stage.stopNode(node);
    stage.startNode(node, vms);
  }

  for (let number = 0; number < steps; number++) {
    await act(number);
    await stage.timers.advanceAsync(random.integer(1500));
    if (repairing && isWhole(stage, repairing)) repairing = undefined;
  }
  stage.heal();
  return kept;
}

// What operators and callers see: control VMs are killed, lose their disks one
// after the other's repair and are cut off, and nodes restart, in any order
// and together. Once the network is whole every accepted change is there, it
// is in force at every node, and no node ever went back to an older version.
for (let seed = 1; seed <= seeds; seed++) {
  test(`faults in an order of chance, seed ${seed}`, async t => {
    const stage = createCluster();
    await stage.startControls();
    for (const name of nodes) stage.startNode(name, vms);
    const kept = await disturb(stage, seed);
    const isAll = () => vms.every(name => isWhole(stage, name));
    await stage.until('every VM is whole', isAll, patience);
    const last = stage.prepare('bolat', [putService('last')]);
    const answer = await stage.submit(last);
    t.is(answer?.code, accepted);
    const versionOf = (name: string) =>
      stage.node(name).subscriber.current()?.version;
    const isEverywhere = () =>
      nodes.every(name => versionOf(name) === answer!.version);
    await stage.until('it is in force everywhere', isEverywhere, patience);
    for (const name of nodes) {
      const {versions} = stage.node(name);
      const sorted = [...versions].sort((left, right) => left - right);
      t.deepEqual(versions, sorted);
      const {services} = stage.node(name).subscriber.current()!;
      t.deepEqual(
        kept.filter(service => !services.has(service)),
        [],
      );
    }
  });
}

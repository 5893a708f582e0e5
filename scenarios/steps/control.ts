import assert from 'node:assert/strict';
import type {ControlVm} from '../control-vm.js';
import type {Cluster} from '../cluster.js';
import {createSteps} from '../step.js';

/** Steps of control VMs: faults of processes, disks and links. */
export const controlSteps = createSteps<Cluster>();
const {action, check} = controlSteps;

const statusOf = (cluster: Cluster, name: string) =>
  cluster.control(name).life()!.consensus.status();

async function restart(cluster: Cluster, vm: ControlVm): Promise<void> {
  const starting = vm.start();
  await cluster.until('the start of a process', () => vm.life() !== undefined);
  await starting;
}

/** Whether a VM is a voter and has applied everything that the leader has. */
function isUpToDate(cluster: Cluster, name: string): boolean {
  const leader = cluster.leader();
  const life = cluster.control(name).life();
  if (leader === undefined || life === undefined) return false;
  const {voters, commitIndex} = statusOf(cluster, leader);
  const memberName = cluster.control(name).name;
  if (!voters.some(voter => voter.name === memberName)) return false;
  const {machine} = cluster.control(leader).life()!;
  const hasSameState = life.machine.digest() === machine.digest();
  return hasSameState && life.consensus.status().commitIndex >= commitIndex;
}

action('safeguard {word} is off', (cluster, safeguard) => {
  assert.equal(
    cluster.controls.size,
    0,
    'safeguards must be switched off before control VMs start',
  );
  cluster.disabledSafeguards.add(safeguard);
});

action('control VMs alpha, beta and gamma, led by alpha', cluster =>
  cluster.startControls(),
);

action('{number} seconds pass', (cluster, seconds) =>
  cluster.timers.advanceAsync(seconds * 1000),
);

action('{word} is cut off', (cluster, name) => cluster.cutOff(name));

action('the network heals except for {word}', (cluster, name) => {
  cluster.heal();
  cluster.cutOff(name);
});

action(
  '{word} loses its disk while {word} is cut off',
  async (cluster, ...args) => {
    const [name, other] = args;
    cluster.cutOff(other);
    const vm = cluster.control(name);
    vm.kill();
    vm.loseDisk();
    await restart(cluster, vm);
  },
);

action('the network heals', cluster => cluster.heal());

action('{word} is killed', (cluster, name) => cluster.control(name).kill());

action('{word} starts again', (cluster, name) =>
  restart(cluster, cluster.control(name)),
);

action('{word} loses its disk and starts again', async (cluster, name) => {
  const vm = cluster.control(name);
  vm.kill();
  vm.loseDisk();
  await restart(cluster, vm);
});

action('{word} loses its disk for good', (cluster, name) => {
  cluster.control(name).kill();
  cluster.control(name).loseDisk();
});

action('{word} is a voter with the current state', (cluster, name) =>
  cluster.until(`${name} with the current state`, () =>
    isUpToDate(cluster, name),
  ),
);

action('the term is noted', cluster => {
  cluster.notedValues.set('term', statusOf(cluster, cluster.leader()!).term);
});

check('a leader is elected', cluster =>
  cluster.until('a leader', () => cluster.leader() !== undefined),
);

check('there is no leader', cluster => {
  assert.equal(cluster.leader(), undefined);
});

check('{word} has stepped down', (cluster, name) => {
  assert.notEqual(statusOf(cluster, name).role, 'leader');
});

check('{word} still acts as leader', (cluster, name) => {
  assert.equal(statusOf(cluster, name).role, 'leader');
});

check('{word} serves no linearizable read', async (cluster, name) => {
  const {consensus} = cluster.control(name).life()!;
  let isServed = false;
  let isSettled = false;
  void consensus.readBarrier().then(result => {
    isServed = result.ok;
    isSettled = true;
  });
  await cluster.until('the end of the read barrier', () => isSettled);
  assert.ok(!isServed, 'the read barrier succeeded');
});

check('the term is as noted', cluster => {
  const {term} = statusOf(cluster, cluster.leader()!);
  assert.equal(term, cluster.notedValues.get('term'));
});

check('the term has risen', cluster => {
  const {term} = statusOf(cluster, cluster.leader()!);
  assert.ok(term > cluster.notedValues.get('term')!, `the term is ${term}`);
});

check('{word} holds the same state as the leader', (cluster, name) =>
  cluster.until(`the same state at ${name}`, () => isUpToDate(cluster, name)),
);

import assert from 'node:assert/strict';
import type {ControlVm} from '../control-vm.js';
import type {Cluster} from '../cluster.js';
import {createSteps} from '../step.js';

/** Steps of control VMs: faults of processes, disks and links. */
export const controlSteps = createSteps<Cluster>();
const {action, check} = controlSteps;

const statusOf = (stage: Cluster, name: string) =>
  stage.control(name).runningParts()!.consensus.status();

async function startAgain(stage: Cluster, vm: ControlVm): Promise<void> {
  const starting = vm.start();
  await stage.until('a start', () => vm.runningParts() !== undefined);
  await starting;
}

/** Whether a VM votes and has applied all that the leader has. */
function isWhole(stage: Cluster, name: string): boolean {
  const leader = stage.leader();
  const life = stage.control(name).runningParts();
  if (leader === undefined || life === undefined) return false;
  const {voters, commitIndex} = statusOf(stage, leader);
  const own = stage.control(name).name;
  if (!voters.some(voter => voter.name === own)) return false;
  const {machine} = stage.control(leader).runningParts()!;
  const isSame = life.machine.digest() === machine.digest();
  return isSame && life.consensus.status().commitIndex >= commitIndex;
}

action('safeguard {word} is off', (stage, safeguard) => {
  assert.equal(stage.controls.size, 0, 'switch safeguards off first');
  stage.disabledSafeguards.add(safeguard);
});

action('control VMs alpha, beta and gamma, led by alpha', stage =>
  stage.startControls(),
);

action('{number} seconds pass', (stage, seconds) =>
  stage.timers.advanceAsync(seconds * 1000),
);

action('{word} is cut off', (stage, name) => stage.cutOff(name));

action('the network heals but for {word}', (stage, name) => {
  stage.heal();
  stage.cutOff(name);
});

action(
  '{word} loses its disk while {word} is cut off',
  async (stage, ...args) => {
    const [name, other] = args;
    stage.cutOff(other);
    const vm = stage.control(name);
    vm.kill();
    vm.loseDisk();
    await startAgain(stage, vm);
  },
);

action('the network heals', stage => stage.heal());

action('{word} dies', (stage, name) => stage.control(name).kill());

action('{word} starts again', (stage, name) =>
  startAgain(stage, stage.control(name)),
);

action('{word} loses its disk and starts again', async (stage, name) => {
  const vm = stage.control(name);
  vm.kill();
  vm.loseDisk();
  await startAgain(stage, vm);
});

action('{word} loses its disk for good', (stage, name) => {
  stage.control(name).kill();
  stage.control(name).loseDisk();
});

action('{word} is whole again', (stage, name) =>
  stage.until(`${name} is whole`, () => isWhole(stage, name)),
);

action('the term is noted', stage => {
  stage.notedValues.set('term', statusOf(stage, stage.leader()!).term);
});

check('a leader is found', stage =>
  stage.until('a leader', () => stage.leader() !== undefined),
);

check('nobody leads', stage => {
  assert.equal(stage.leader(), undefined);
});

check('{word} knows that it leads nobody', (stage, name) => {
  assert.notEqual(statusOf(stage, name).role, 'leader');
});

check('{word} still takes itself for the leader', (stage, name) => {
  assert.equal(statusOf(stage, name).role, 'leader');
});

check('{word} serves nothing as current', async (stage, name) => {
  const {consensus} = stage.control(name).runningParts()!;
  let isServed = false;
  let isOver = false;
  void consensus.readBarrier().then(result => {
    isServed = result.ok;
    isOver = true;
  });
  await stage.until('the end of the barrier', () => isOver);
  assert.ok(!isServed, 'the barrier was passed');
});

check('the term is as noted', stage => {
  const {term} = statusOf(stage, stage.leader()!);
  assert.equal(term, stage.notedValues.get('term'));
});

check('the term has risen', stage => {
  const {term} = statusOf(stage, stage.leader()!);
  assert.ok(term > stage.notedValues.get('term')!, `the term is ${term}`);
});

check('{word} holds the same state as the leader', (stage, name) =>
  stage.until(`the same state at ${name}`, () => isWhole(stage, name)),
);

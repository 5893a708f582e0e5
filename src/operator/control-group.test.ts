import test from 'ava';
import type {ConfigurationMachine} from '../configuration/create-configuration-machine.js';
import {
  createSampleMachine,
  putService,
} from '../configuration/fakes/sample.js';
import type {Answer, Command} from '../configuration/messages.js';
import {createTestGroup} from '../consensus/fakes/group.js';
import type {TestGroup} from '../consensus/fakes/group.js';
import {defaults} from '../settings/defaults.js';
import type {Reply} from './messages.js';
import {createOperatorService} from './service.js';

/**
 * A control group with the real consensus protocol, and fake disks and network.
 */
interface Control {
  readonly group: TestGroup;
  machine(name: string): ConfigurationMachine;
  start(name: string): Promise<void>;
  change(name: string, command: Command): Promise<Reply<Answer>>;
}

async function createControl(): Promise<Control> {
  const machines = new Map<string, ConfigurationMachine>();
  let startingMember = '';
  const group = createTestGroup(3, {
    snapshotEntries: 8,
    /**
     * Read at each start of a member, so that each one gets a separate machine.
     */
    get machine() {
      const machine = createSampleMachine();
      machines.set(startingMember, machine);
      return machine;
    },
  });

  async function start(name: string): Promise<void> {
    startingMember = name;
    await group.start(name);
  }

  async function change(
    name: string,
    command: Command,
  ): Promise<Reply<Answer>> {
    const service = createOperatorService({
      name,
      consensus: group.member(name).consensus!,
      machine: machines.get(name)!,
      fleet: {summary: () => undefined as never},
      timers: group.timers,
      limits: defaults.limits,
      leaderAddress: leader => `address-of-${leader}`,
    });
    return group.settled(service.change(command));
  }

  for (const name of group.names) await start(name);
  await group.elect();
  return {group, start, change, machine: name => machines.get(name)!};
}

function put(sequence: number, expectedVersion?: number): Command {
  const edits = [putService('crewbook', sequence)];
  return {operator: 'amina', sequence, expectedVersion, edits};
}

// Guards against changes that run twice. The leader accepts a change and its VM
// fails before the answer arrives. The operator resends the change to the next
// leader, and again after snapshots and a restart of all processes. Each resend
// must get the first answer, and the change must have run once.
test('a resend gets the first answer from every later leader', async t => {
  const {group, start, change, machine} = await createControl();
  const first = group.leader()!;
  const initial = await change(first, put(1));
  const version = initial.ok ? initial.value.version : 0;
  const firstAnswer = await change(first, put(2, version));
  group.kill(first);
  const second = await group.elect();
  t.not(second, first);
  t.deepEqual(await change(second, put(2, version)), firstAnswer);

  for (let sequence = 3; sequence <= 30; sequence++) {
    t.true((await change(second, put(sequence))).ok);
  }
  await start(first);
  await group.run(1000);
  for (const name of group.names) group.kill(name);
  for (const name of group.names) await start(name);
  const third = await group.elect();
  t.deepEqual(await change(third, put(2, version)), firstAnswer);
  await group.run(1000);
  const digests = group.names.map(name => machine(name).digest());
  t.is(new Set(digests).size, 1);
  const services = machine(third).current().services;
  t.is(services.get('crewbook')?.slowStart, 30);
  t.true(group.member(third).consensus!.status().snapshotIndex > 0);
});

test('a follower returns the operators’ address of the leader', async t => {
  const {group, change} = await createControl();
  await group.run(200);
  const leader = group.leader()!;
  const follower = group.names.find(name => name !== leader)!;
  const reply = await change(follower, put(1));
  t.like(reply, {
    ok: false,
    refusal: {name: 'not-leader', leader: `address-of-${leader}`},
  });
});

// Guards against split brain. Operators on both sides of a network partition
// send changes for the same expected version. The isolated leader must not
// accept any; the majority's leader accepts one, and after the partition has
// healed the other change gets a conflict.
test('of two changes on both sides of a network partition, one is accepted and the other gets a conflict', async t => {
  const {group, change} = await createControl();
  const oldLeader = group.leader()!;
  const initial = await change(oldLeader, put(1));
  const version = initial.ok ? initial.value.version : 0;
  group.isolate(oldLeader);
  const isolated = await change(oldLeader, put(2, version));
  t.false(isolated.ok);
  await group.until(() => {
    const leader = group.leader();
    return leader !== undefined && leader !== oldLeader;
  });
  const daulet = {...put(9, version), operator: 'daulet'};
  const accepted = await change(group.leader()!, daulet);
  t.true(accepted.ok && accepted.value.code === 1000);
  group.network.heal();
  await group.run(2000);
  const late = await change(group.leader()!, put(2, version));
  t.is(late.ok && late.value.code, 2000);
  t.is(late.ok && late.value.version, accepted.ok && accepted.value.version);
});

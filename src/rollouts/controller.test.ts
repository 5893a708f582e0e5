import test from 'ava';
import type {Rollout} from '../configuration/configuration.js';
import {
  createSampleMachine,
  putService,
} from '../configuration/fakes/sample.js';
import type {Edit} from '../configuration/messages.js';
import {createFakeGroup} from '../consensus/fakes/fake-consensus.js';
import type {KnownInstance} from '../endpoints/messages.js';
import type {FleetSummary} from '../fleet/summary.js';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import {createNoMetrics} from '../metrics/metrics.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import type {Timers} from '../time/timers.js';
import {createRolloutController} from './controller.js';
import {createRolloutExchange} from './exchange.js';

const service = 'records';
const controls = ['control-1', 'control-2'];
const order: Edit = {
  action: 'start-rollout',
  service,
  target: 'v2',
  duration: 12_000,
};

function instanceOf(instance: string, version?: string): KnownInstance {
  return {
    instance,
    service,
    ...(version !== undefined && {version}),
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    gate: '127.0.0.1:1',
    failureDomain: 'hall-a',
    region: 'north',
    slots: 8,
    connections: 8,
    since: 0,
  };
}

async function setUp(recordsVersions = true) {
  const timers = createFakeTimers(1_000_000);
  const {log} = createRecordedLog();
  const group = createFakeGroup(controls, () => createSampleMachine());
  const instances = [instanceOf('old-1', 'v1'), instanceOf('old-2', 'v1')];
  /** Number of periodic tasks that have run. */
  let ticks = 0;
  const counted = Object.create(timers, {
    every: {
      value: (period: number, task: () => void) =>
        timers.every(period, () => {
          ticks++;
          task();
        }),
    },
  }) as Timers;
  const fleet = {summary: () => ({inForce: 0}) as FleetSummary};
  for (const name of controls) {
    createRolloutController({
      name,
      consensus: group.member(name),
      machine: group.machine(name),
      endpoints: {instances: () => instances},
      fleet,
      exchange: createRolloutExchange({timers, log}),
      timers: counted,
      log,
      limits: {share: 0.1, slack: 50},
      metrics: createNoMetrics(),
      recordsVersions,
    });
  }
  let sequence = 0;
  async function change(edit: Edit): Promise<void> {
    const command = {operator: 'amina', sequence: ++sequence, edits: [edit]};
    const machine = group.machine(controls[0]!);
    const leader = group.member(controls[0]!).status().leader!;
    await group.member(leader).propose(machine.prepare(command, 1));
  }
  const rollout = (): Rollout | undefined =>
    group.machine(controls[0]!).current().rollouts.get(service);
  await change(putService(service));
  return {
    timers,
    group,
    instances,
    change,
    rollout,
    async ticksIn(duration: number) {
      const before = ticks;
      await timers.advanceAsync(duration);
      return ticks - before;
    },
  };
}

test('the version of the first instances is recorded', async t => {
  const {timers, rollout} = await setUp();
  await timers.advanceAsync(1_000);
  t.like(rollout(), {stable: ['v1'], phase: 'idle'});
});

test('a version is not recorded while an instance announces none', async t => {
  const {timers, instances, rollout} = await setUp();
  instances.push(instanceOf('old-3'));
  await timers.advanceAsync(2_000);
  t.is(rollout(), undefined);
});

test('without the setting no version is recorded', async t => {
  const {timers, rollout} = await setUp(false);
  await timers.advanceAsync(2_000);
  t.is(rollout(), undefined);
});

// Guards against a controller that wakes every control process ten times a
// second although nothing is rolled out.
test('no steps are taken while no roll-out is under way', async t => {
  const {change, ticksIn} = await setUp();
  const idle = await ticksIn(10_000);
  await change(order);
  const busy = await ticksIn(10_000);
  t.true(idle <= 40, `${idle} wake-ups in 10 s`);
  t.true(busy >= 200, `${busy} wake-ups in 10 s`);
});

// Guards against a leader that counts the time from its own start, so that a
// roll-out lasts longer with each change of the leader.
test('another leader goes on where the last one was', async t => {
  const {timers, group, change, rollout} = await setUp();
  await timers.advanceAsync(1_000);
  await change(order);
  await timers.advanceAsync(6_000);
  group.lead('control-2');
  await timers.advanceAsync(5_500);
  t.is(rollout()?.phase, 'running');
  await timers.advanceAsync(1_000);
  t.is(rollout()?.phase, 'rolled-back');
  t.is(rollout()?.reason, 'no instance of the target has come');
});

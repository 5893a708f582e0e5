import test from 'ava';
import {
  createSampleMachine,
  putService,
} from '../configuration/fakes/sample.js';
import {createFakeGroup} from '../consensus/fakes/fake-consensus.js';
import type {FleetSummary} from '../fleet/summary.js';
import {defaults} from '../settings/defaults.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import {createOperatorService} from './service.js';

function summarize(version: number, inForce: number): FleetSummary {
  return {
    version,
    isSettled: true,
    nodes: 2,
    inForce,
    behind: 2 - inForce,
    unknown: 0,
    domains: [],
    laggards: [],
    homes: [],
  };
}

function createTestService(nodes = 2, isSettled = true) {
  const timers = createFakeTimers();
  const group = createFakeGroup(['control-1'], createSampleMachine);
  let inForce = 0;
  const service = createOperatorService({
    name: 'control-1',
    consensus: group.member('control-1'),
    machine: group.machine('control-1'),
    fleet: {
      summary: (version = 0) => ({
        ...summarize(version, inForce),
        nodes,
        isSettled,
      }),
    },
    timers,
    limits: defaults.limits,
    leaderAddress: () => undefined,
  });
  const setInForce = (count: number) => (inForce = count);
  return {timers, group, service, setInForce};
}

const command = {operator: 'amina', sequence: 1, edits: [putService('a')]};

test('a wait ends when the version is in force on the last node', async t => {
  const {timers, service, setInForce} = createTestService();
  let waited: boolean | undefined;
  void service.wait(3, 5000).then(({inForce}) => (waited = inForce));
  setInForce(1);
  await timers.advanceAsync(1000);
  t.is(waited, undefined);
  setInForce(2);
  await timers.advanceAsync(100);
  t.true(waited);
});

test('a wait ends at its timeout if a node is behind', async t => {
  const {timers, service, setInForce} = createTestService();
  setInForce(1);
  const waiting = service.wait(3, 500);
  await timers.advanceAsync(600);
  t.like(await waiting, {inForce: false, summary: {behind: 1}});
});

test('a version is not in force if no node is known', async t => {
  const {timers, service} = createTestService(0);
  const waiting = service.wait(3, 100);
  await timers.advanceAsync(200);
  t.false((await waiting).inForce);
});

// The group has lost its majority and an operator queries the versions in
// force. The state of the fleet is still known and is shown, but this process
// can't tell whether a newer version was accepted by other processes, so the
// answer must be marked as unconfirmed.
test('without a majority the state of the fleet is unconfirmed, and items are refused', async t => {
  const {group, service} = createTestService();
  await service.change(command);
  t.like(await service.inForce(), {confirmed: true, summary: {version: 1}});
  group.lead(undefined);
  t.like(await service.inForce(), {confirmed: false, summary: {version: 1}});
  t.false((await service.items('service')).ok);
  t.false((await service.history(1)).ok);
});

test('the state of the fleet is returned in time if the majority does not answer', async t => {
  const timers = createFakeTimers();
  const group = createFakeGroup(['control-1'], createSampleMachine);
  const service = createOperatorService({
    name: 'control-1',
    consensus: {
      ...group.member('control-1'),
      readBarrier: () => new Promise(() => {}),
    },
    machine: group.machine('control-1'),
    fleet: {summary: (version = 0) => summarize(version, 0)},
    timers,
    limits: defaults.limits,
    leaderAddress: () => undefined,
  });
  let confirmed: boolean | undefined;
  void service.inForce().then(answer => (confirmed = answer.confirmed));
  await settle();
  t.is(confirmed, undefined);
  await timers.advanceAsync(1000);
  t.false(confirmed);
});

test('a newly started process without reports from all homes does not end a wait', async t => {
  const {timers, service, setInForce} = createTestService(2, false);
  setInForce(2);
  const waited = service.wait(1, 1000);
  await timers.advanceAsync(1100);
  t.false((await waited).inForce);
});

const rollout = {service: 'a', target: 'v2', duration: 5_000};

async function startTestRollout() {
  const test = createTestService();
  await test.service.change(command);
  const first = await test.service.startRollout(rollout);
  const phase = () =>
    test.group.machine('control-1').current().rollouts.get('a')?.phase;
  const back = {action: 'roll-back', service: 'a', reason: 'asked'} as const;
  await test.service.change({operator: 'amina', sequence: 2, edits: [back]});
  return {...test, first, phase};
}

// Guards against an order whose answer was lost and which, sent again by the
// platform without an id, starts a version that was rolled back meanwhile.
test('the same order soon after is a resend, also when its roll-out has ended', async t => {
  const {service, first, phase, timers} = await startTestRollout();
  t.true(first.ok);
  timers.advance(4_000);
  const again = await service.startRollout(rollout);
  t.like(again, {ok: true, value: {code: 1000}});
  t.is(phase(), 'rolled-back');
});

test('the same order much later starts again', async t => {
  const {service, phase, timers} = await startTestRollout();
  timers.advance(60_000);
  await service.startRollout(rollout);
  t.is(phase(), 'running');
});

test('an operator cannot put or remove the state of a roll-out', async t => {
  const {service} = await startTestRollout();
  const edits = [{action: 'remove', kind: 'rollout', name: 'a'}] as const;
  const reply = await service.change({operator: 'amina', sequence: 3, edits});
  t.like(reply, {ok: false, refusal: {name: 'rollout-reserved'}});
});

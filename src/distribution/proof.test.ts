import test from 'ava';
import {success} from '../result/failure.js';
import {settle} from '../time/fakes/fake-timers.js';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {Operator} from './fakes/test-cluster.js';
import {createProver} from './prover.js';
import type {SubscriberSafeguards} from './subscriber.js';

/** What one control VM still knows after it was cut from the others. */
function createStale(operator: Operator): Operator {
  const configuration = operator.current();
  return {...operator, current: () => configuration, onChange: () => {}};
}

// A caller would be sent where operators no longer want it. A node has served
// version 2 and restarts; it has no disk. Of all homes it reaches only the
// control VM that a partition cut off at version 1, which does not know that
// it is behind. The nonce needs a quorum round, which that VM cannot have.
async function restartAtIsolated(safeguards: Partial<SubscriberSafeguards>) {
  const stage = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const stale = createStale(operator);
  operator.accept({put: ['crewbook']});
  const healthy = await stage.control('control-1', operator);
  const isolated = await stage.control('control-2', stale, {
    safeguards: {proof: safeguards.proof ?? true},
  });
  isolated.quorum = false;
  const homes = [healthy.address, isolated.address];
  const before = stage.node('node-1', homes, {safeguards});
  await stage.timers.advanceAsync(5000);
  before.home.stop();
  stage.network.cut('node-1', 'control-1');
  const after = stage.node('node-1', homes, {safeguards});
  await stage.timers.advanceAsync(10_000);
  return {stage, before, after};
}

test('without a proof a restarted node serves an older version', async t => {
  const {after} = await restartAtIsolated({proof: false});
  t.is(after.subscriber.current()!.version, 1);
});

test('a restarted node serves nothing until a quorum proved its state', async t => {
  const {stage, before, after} = await restartAtIsolated({});
  t.is(before.subscriber.current()!.version, 2);
  t.is(after.subscriber.current(), undefined);
  stage.network.heal();
  await stage.timers.advanceAsync(20_000);
  t.deepEqual(after.versions, [2]);
});

// As above, but what the node meets is a relay that lost its control processes
// without a sign: its links are open and silent. It passes the nonce on and
// gets no answer, so it cannot hand out what it holds.
test('a relay that is cut from control cannot prove its old state', async t => {
  const stage = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const relay = await stage.relay('relay-1', [control.address]);
  await stage.timers.advanceAsync(3000);
  stage.network.cut('relay-1', 'control-1');
  stage.network.cut('control-1', 'relay-1');
  operator.accept({put: ['crewbook']});
  const node = stage.node('node-1', [relay.address]);
  await stage.timers.advanceAsync(20_000);
  t.is(relay.subscriber.current()!.version, 1);
  t.is(node.subscriber.current(), undefined);
  stage.network.heal();
  await stage.timers.advanceAsync(20_000);
  t.deepEqual(node.versions, [2]);
});

// A quorum outage must not become an outage of all proxies: a node that has
// once proved its state goes on with it, and only its age grows.
test('a running node goes on with what it has when no quorum answers', async t => {
  const stage = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const node = stage.node('node-1', [control.address]);
  await stage.timers.advanceAsync(2000);
  control.quorum = false;
  await stage.timers.advanceAsync(60_000);
  t.is(node.subscriber.current()!.version, 1);
  t.true(stage.timers.now() - node.home.asOf()! > 59_000);
});

test('the nonces of a herd share quorum rounds', async t => {
  const stage = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const relay = await stage.relay('relay-1', [control.address]);
  await stage.timers.advanceAsync(3000);
  const nodes = Array.from({length: 100}, (_, index) =>
    stage.node(`node-${index}`, [relay.address]),
  );
  await stage.timers.advanceAsync(3000);
  t.true(nodes.every(node => node.versions[0] === 1));
  t.true(relay.distributor.counts().rounds <= 4);
  t.true(control.distributor.counts().rounds <= 5);
});

// A node would be told that version 1 is the newest although 2 was accepted
// before it asked. The round that is under way began before 2 was accepted, so
// its answer says 1; the nonce has to wait for the next round.
test('a nonce is not answered by a round that began before it', async t => {
  const rounds: Array<(version: number) => void> = [];
  const prover = createProver(
    () => new Promise(done => rounds.push(version => done(success(version)))),
  );
  const answers: string[] = [];
  const note = (name: string) => (result: {ok: boolean; value?: number}) =>
    answers.push(`${name} ${result.value}`);
  prover.prove(note('first'));
  prover.prove(note('second'));
  prover.prove(note('third'));
  rounds[0]!(1);
  await settle();
  t.deepEqual(answers, ['first 1']);
  rounds[1]!(2);
  await settle();
  t.deepEqual(answers, ['first 1', 'second 2', 'third 2']);
});

// A round that hangs with a cut link would keep all later nonces waiting.
test('a round that never ends does not keep later nonces waiting', async t => {
  const stage = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  let hangs = true;
  const control = await stage.control('control-1', operator, {
    barrier: () =>
      hangs ? new Promise(() => {}) : Promise.resolve(success(1)),
  });
  const node = stage.node('node-1', [control.address]);
  await stage.timers.advanceAsync(3000);
  t.is(node.subscriber.current(), undefined);
  hangs = false;
  await stage.timers.advanceAsync(10_000);
  t.deepEqual(node.versions, [1]);
});

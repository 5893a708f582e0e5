import test from 'ava';
import {success} from '../result/failure.js';
import {settle} from '../time/fakes/fake-timers.js';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {Operator} from './fakes/test-cluster.js';
import {createProver} from './prover.js';
import type {SubscriberSafeguards} from './subscriber.js';

/**
 * Returns the operator as seen by a control VM that was cut off from the
 * others.
 */
function createStale(operator: Operator): Operator {
  const configuration = operator.current();
  return {...operator, current: () => configuration, onChange: () => {}};
}

// Guards against a restarted node that serves an older version than before. It
// has served version 2 and has no disk. The only home that it reaches is a
// control VM that a partition cut off at version 1 and that does not detect
// this. The nonce requires a quorum round, which that VM cannot complete.
async function restartAtIsolated(safeguards: Partial<SubscriberSafeguards>) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const stale = createStale(operator);
  operator.accept({put: ['crewbook']});
  const healthy = await cluster.control('control-1', operator);
  const isolated = await cluster.control('control-2', stale, {
    safeguards: {proof: safeguards.proof ?? true},
  });
  isolated.quorum = false;
  const homes = [healthy.address, isolated.address];
  const before = cluster.node('node-1', homes, {safeguards});
  await cluster.timers.advanceAsync(5000);
  before.home.stop();
  cluster.network.cut('node-1', 'control-1');
  const after = cluster.node('node-1', homes, {safeguards});
  await cluster.timers.advanceAsync(10_000);
  return {cluster, before, after};
}

test('without a proof a restarted node serves an older version', async t => {
  const {after} = await restartAtIsolated({proof: false});
  t.is(after.subscriber.current()!.version, 1);
});

test('a restarted node serves nothing until a quorum has proved its state', async t => {
  const {cluster, before, after} = await restartAtIsolated({});
  t.is(before.subscriber.current()!.version, 2);
  t.is(after.subscriber.current(), undefined);
  cluster.network.heal();
  await cluster.timers.advanceAsync(20_000);
  t.deepEqual(after.versions, [2]);
});

// The same with a relay that lost its control processes without its links being
// closed. It forwards the nonce and gets no answer, so a node cannot serve
// what the relay holds.
test('a relay that is cut off from control cannot prove its old state', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const relay = await cluster.relay('relay-1', [control.address]);
  await cluster.timers.advanceAsync(3000);
  cluster.network.cut('relay-1', 'control-1');
  cluster.network.cut('control-1', 'relay-1');
  operator.accept({put: ['crewbook']});
  const node = cluster.node('node-1', [relay.address]);
  await cluster.timers.advanceAsync(20_000);
  t.is(relay.subscriber.current()!.version, 1);
  t.is(node.subscriber.current(), undefined);
  cluster.network.heal();
  await cluster.timers.advanceAsync(20_000);
  t.deepEqual(node.versions, [2]);
});

// Guards against an outage of all proxies because of a quorum outage: a node
// that has once proved its state continues to serve it, and only its age grows.
test('a running node continues to serve its state when no quorum answers', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address]);
  await cluster.timers.advanceAsync(2000);
  control.quorum = false;
  await cluster.timers.advanceAsync(60_000);
  t.is(node.subscriber.current()!.version, 1);
  t.true(cluster.timers.now() - node.home.asOf()! > 59_000);
});

test('the nonces of many nodes share quorum rounds', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const relay = await cluster.relay('relay-1', [control.address]);
  await cluster.timers.advanceAsync(3000);
  const nodes = Array.from({length: 100}, (_, index) =>
    cluster.node(`node-${index}`, [relay.address]),
  );
  await cluster.timers.advanceAsync(3000);
  t.true(nodes.every(node => node.versions[0] === 1));
  t.true(relay.distributor.counts().rounds <= 4);
  t.true(control.distributor.counts().rounds <= 5);
});

// Guards against a proof of version 1 although 2 was accepted before the nonce
// was sent. The current round began before the acceptance of 2, so its result
// is 1; the nonce must wait for the next round.
test('a nonce is not answered by a round that began before its arrival', async t => {
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

// Guards against nonces that wait forever because a quorum round hangs on an
// interrupted link.
test('a round that never ends does not block later nonces', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  let hangs = true;
  const control = await cluster.control('control-1', operator, {
    barrier: () =>
      hangs ? new Promise(() => {}) : Promise.resolve(success(1)),
  });
  const node = cluster.node('node-1', [control.address]);
  await cluster.timers.advanceAsync(3000);
  t.is(node.subscriber.current(), undefined);
  hangs = false;
  await cluster.timers.advanceAsync(10_000);
  t.deepEqual(node.versions, [1]);
});

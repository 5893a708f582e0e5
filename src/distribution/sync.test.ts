import test from 'ava';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {Operator, TestCluster, TestNode} from './fakes/test-cluster.js';

const services = Array.from({length: 40}, (_, index) => `service-${index}`);

async function startWith(ringLength: number) {
  const stage = createTestCluster();
  const operator = createOperator();
  operator.accept({put: services});
  const control = await stage.control('control-1', operator, {ringLength});
  const node = stage.node('node-1', [control.address]);
  await stage.timers.advanceAsync(2000);
  return {stage, operator, control, node};
}

/** Cuts the node off while `changes` pass it by, then lets it back. */
async function missChanges(
  stage: TestCluster,
  operator: Operator,
  node: TestNode,
  changes: number,
  touched: number,
): Promise<void> {
  stage.network.cut('node-1', 'control-1');
  stage.network.cut('control-1', 'node-1');
  node.home.leave('the test cuts it off');
  for (let change = 0; change < changes; change++) {
    operator.accept({put: [services[change % touched]!]});
    await stage.timers.advanceAsync(10);
  }
  stage.network.heal();
  await stage.timers.advanceAsync(20_000);
}

// Processes restart or return after hundreds of changes have passed them by.
// Each of the three ways must end in the same state; the cheapest is taken.
test('a node that missed what the ring holds gets a delta', async t => {
  const {stage, operator, control, node} = await startWith(1024);
  await missChanges(stage, operator, node, 300, 5);
  t.like(control.distributor.counts(), {snapshots: 1, deltas: 1});
  t.deepEqual(node.subscriber.current(), operator.current());
});

test('a node that missed more gets the sections that differ', async t => {
  const {stage, operator, control, node} = await startWith(100);
  await missChanges(stage, operator, node, 300, 5);
  t.like(control.distributor.counts(), {snapshots: 1, comparisons: 1});
  t.deepEqual(node.subscriber.current(), operator.current());
});

test('a home that made up its state in one step compares', async t => {
  const stage = createTestCluster();
  const operator = createOperator();
  const empty = operator.current();
  operator.accept({put: services});
  const first = await stage.control('control-1', operator);
  let isRestarting = true;
  let notify = () => {};
  const second = await stage.control('control-2', {
    ...operator,
    current: () => (isRestarting ? empty : operator.current()),
    onChange: observe => (notify = observe),
  });
  const homes = [{address: first.address, failureDomain: 'a'}, second.address];
  const node = stage.node('node-1', homes);
  await stage.timers.advanceAsync(2000);
  stage.network.kill('control-1');
  operator.accept({put: [services[0]!]});
  isRestarting = false;
  notify();
  await stage.timers.advanceAsync(10_000);
  t.deepEqual(node.subscriber.current(), operator.current());
  t.like(second.distributor.counts(), {comparisons: 1, snapshots: 0});
});

test('a node that missed changes without effect gets no section', async t => {
  const {stage, operator, control, node} = await startWith(1024);
  node.subscriber.subscribe(services.slice(10));
  await stage.timers.advanceAsync(1000);
  const before = control.distributor.counts();
  await missChanges(stage, operator, node, 300, 5);
  const after = control.distributor.counts();
  t.is(after.current, before.current + 1);
  t.is(after.snapshots + after.deltas, before.snapshots + before.deltas);
  t.is(node.subscriber.current()!.version, operator.current().version);
});

test('a fresh node gets a snapshot', async t => {
  const {control, node, operator} = await startWith(1024);
  t.like(control.distributor.counts(), {snapshots: 1, deltas: 0});
  t.deepEqual(node.subscriber.current(), operator.current());
});

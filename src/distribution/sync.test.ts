import test from 'ava';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {Operator, TestCluster, TestNode} from './fakes/test-cluster.js';

const services = Array.from({length: 40}, (_, index) => `service-${index}`);

async function startWith(ringLength: number) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: services});
  const control = await cluster.control('control-1', operator, {ringLength});
  const node = cluster.node('node-1', [control.address]);
  await cluster.timers.advanceAsync(2000);
  return {cluster, operator, control, node};
}

/** Cuts the node off during `changes` changes, then restores its links. */
async function missChanges(
  cluster: TestCluster,
  operator: Operator,
  node: TestNode,
  changes: number,
  touched: number,
): Promise<void> {
  cluster.network.cut('node-1', 'control-1');
  cluster.network.cut('control-1', 'node-1');
  node.home.leave('the test cuts it off');
  for (let change = 0; change < changes; change++) {
    operator.accept({put: [services[change % touched]!]});
    await cluster.timers.advanceAsync(10);
  }
  cluster.network.heal();
  await cluster.timers.advanceAsync(20_000);
}

// Guards against wrong or expensive synchronization of processes that restart
// or return after hundreds of changes. Each of the three ways must lead to the
// same state; the cheapest one is used.
test('a node that missed only changes in the ring gets a delta', async t => {
  const {cluster, operator, control, node} = await startWith(1024);
  await missChanges(cluster, operator, node, 300, 5);
  t.like(control.distributor.counts(), {snapshots: 1, deltas: 1});
  t.deepEqual(node.subscriber.current(), operator.current());
});

test('a node that missed more changes gets the sections that differ', async t => {
  const {cluster, operator, control, node} = await startWith(100);
  await missChanges(cluster, operator, node, 300, 5);
  t.like(control.distributor.counts(), {snapshots: 1, comparisons: 1});
  t.deepEqual(node.subscriber.current(), operator.current());
});

test('a home that reached its state in one step compares sections', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  const empty = operator.current();
  operator.accept({put: services});
  const first = await cluster.control('control-1', operator);
  let isRestarting = true;
  let notify = () => {};
  const second = await cluster.control('control-2', {
    ...operator,
    current: () => (isRestarting ? empty : operator.current()),
    onChange: observe => (notify = observe),
  });
  const homes = [{address: first.address, failureDomain: 'a'}, second.address];
  const node = cluster.node('node-1', homes);
  await cluster.timers.advanceAsync(2000);
  cluster.network.kill('control-1');
  operator.accept({put: [services[0]!]});
  isRestarting = false;
  notify();
  await cluster.timers.advanceAsync(10_000);
  t.deepEqual(node.subscriber.current(), operator.current());
  t.like(second.distributor.counts(), {comparisons: 1, snapshots: 0});
});

test('a node that missed only changes outside its interest gets no section', async t => {
  const {cluster, operator, control, node} = await startWith(1024);
  node.subscriber.subscribe(services.slice(10));
  await cluster.timers.advanceAsync(1000);
  const before = control.distributor.counts();
  await missChanges(cluster, operator, node, 300, 5);
  const after = control.distributor.counts();
  t.is(after.current, before.current + 1);
  t.is(after.snapshots + after.deltas, before.snapshots + before.deltas);
  t.is(node.subscriber.current()!.version, operator.current().version);
});

test('a new node gets a snapshot', async t => {
  const {control, node, operator} = await startWith(1024);
  t.like(control.distributor.counts(), {snapshots: 1, deltas: 0});
  t.deepEqual(node.subscriber.current(), operator.current());
});

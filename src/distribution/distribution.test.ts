import test from 'ava';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';

test('an accepted change comes into force at each node', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['stock-desk']});
  const control = await cluster.control('control-1', operator);
  const fullNode = cluster.node('node-1', [control.address]);
  const partialNode = cluster.node('node-2', [control.address], {
    services: ['parts-files'],
  });
  await cluster.timers.advanceAsync(100);
  t.deepEqual(fullNode.versions, [1]);
  operator.accept({put: ['parts-files']});
  await cluster.timers.advanceAsync(100);
  t.deepEqual(fullNode.subscriber.current(), operator.current());
  t.deepEqual(
    [...partialNode.subscriber.current()!.services.keys()],
    ['parts-files'],
  );
  const summary = control.fleet.summary();
  t.like(summary, {version: 2, nodes: 2, inForce: 2, behind: 0, unknown: 0});
});

test('a change and the proof of a state reach a node through a relay', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['stock-desk']});
  const control = await cluster.control('control-1', operator);
  const relay = await cluster.relay('relay-1', [control.address]);
  const node = cluster.node('node-1', [relay.address]);
  await cluster.timers.advanceAsync(3000);
  t.deepEqual(node.versions, [1]);
  operator.accept({put: ['parts-files']});
  await cluster.timers.advanceAsync(3000);
  t.deepEqual(node.subscriber.current(), operator.current());
  const summary = control.fleet.summary();
  t.like(summary, {version: 2, nodes: 1, inForce: 1, behind: 0, unknown: 0});
});

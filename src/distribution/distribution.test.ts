import test from 'ava';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';

test('an accepted change comes into force at each node', async t => {
  const stage = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['stock-desk']});
  const control = await stage.control('control-1', operator);
  const all = stage.node('node-1', [control.address]);
  const one = stage.node('node-2', [control.address], {
    services: ['parts-files'],
  });
  await stage.timers.advanceAsync(100);
  t.deepEqual(all.versions, [1]);
  operator.accept({put: ['parts-files']});
  await stage.timers.advanceAsync(100);
  t.deepEqual(all.subscriber.current(), operator.current());
  t.deepEqual([...one.subscriber.current()!.services.keys()], ['parts-files']);
  const summary = control.fleet.summary();
  t.like(summary, {version: 2, nodes: 2, inForce: 2, behind: 0, unknown: 0});
});

test('a change reaches a node through a relay and its proof too', async t => {
  const stage = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['stock-desk']});
  const control = await stage.control('control-1', operator);
  const relay = await stage.relay('relay-1', [control.address]);
  const node = stage.node('node-1', [relay.address]);
  await stage.timers.advanceAsync(3000);
  t.deepEqual(node.versions, [1]);
  operator.accept({put: ['parts-files']});
  await stage.timers.advanceAsync(3000);
  t.deepEqual(node.subscriber.current(), operator.current());
  const summary = control.fleet.summary();
  t.like(summary, {version: 2, nodes: 1, inForce: 1, behind: 0, unknown: 0});
});

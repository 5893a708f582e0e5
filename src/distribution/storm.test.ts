import test from 'ava';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';

// Guards against an overload of the relays and a slow recovery. All nodes of a
// deployment restart while control has no quorum, and refuse requests as not
// run. Once a quorum answers, all nodes must serve again within seconds,
// including an accepted change.
test('a reconnect storm ends soon after the quorum outage that caused it', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook', 'drillvault']});
  const control = await cluster.control('control-1', operator);
  const relays = [
    await cluster.relay('relay-1', [control.address]),
    await cluster.relay('relay-2', [control.address]),
  ];
  await cluster.timers.advanceAsync(3000);
  control.quorum = false;
  const homes = relays.map(({address}) => address);
  let subscriptions = 0;
  cluster.network.decide((source, _target, message) => {
    const isNode = source.startsWith('node');
    if (isNode && JSON.stringify(message).includes('subscribe"'))
      subscriptions++;
    return 'deliver';
  });
  const nodes = Array.from({length: 80}, (_, index) =>
    cluster.node(`node-${index}`, homes),
  );
  await cluster.timers.advanceAsync(30_000);
  t.true(nodes.every(node => node.subscriber.current() === undefined));
  t.true(subscriptions < nodes.length * 20, `${subscriptions} subscriptions`);
  control.quorum = true;
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(8000);
  const versions = nodes.map(node => node.subscriber.current()?.version);
  t.deepEqual(new Set(versions), new Set([2]));
  t.like(control.fleet.summary(), {nodes: 80, inForce: 80});
});

// The same after the failure of a relay: its nodes hold the newest version, so
// moving them costs one digest each and no state.
test('nodes of a failed relay move to another one without a new state', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook', 'drillvault']});
  const control = await cluster.control('control-1', operator);
  const relays = [
    await cluster.relay('relay-1', [control.address]),
    await cluster.relay('relay-2', [control.address]),
  ];
  const homes = relays.map(({address}) => address);
  const nodes = Array.from({length: 60}, (_, index) =>
    cluster.node(`node-${index}`, homes),
  );
  await cluster.timers.advanceAsync(5000);
  const before = relays[1]!.distributor.counts();
  cluster.network.kill('relay-1');
  await cluster.timers.advanceAsync(3000);
  const after = relays[1]!.distributor.counts();
  t.is(after.subscribers, 60);
  t.is(after.snapshots, before.snapshots);
  t.is(after.deltas, before.deltas);
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(100);
  t.true(nodes.every(node => node.subscriber.current()!.version === 2));
});

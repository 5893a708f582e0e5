import test from 'ava';
import {createOperator, createStage} from './fakes/stage.js';

// All nodes of a deployment restart while control has no quorum. Callers are
// refused as not run meanwhile. The nodes must not hammer the relays, and once
// a quorum answers they must all be back within seconds, with an accepted
// change among them.
test('a reconnect storm during an outage of the source ends with it', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook', 'drillvault']});
  const control = await stage.control('control-1', operator);
  const relays = [
    await stage.relay('relay-1', [control.address]),
    await stage.relay('relay-2', [control.address]),
  ];
  await stage.timers.advanceAsync(3000);
  control.quorum = false;
  const homes = relays.map(({address}) => address);
  let asked = 0;
  stage.network.decide((source, _target, message) => {
    const isNode = source.startsWith('node');
    if (isNode && JSON.stringify(message).includes('subscribe"')) asked++;
    return 'deliver';
  });
  const nodes = Array.from({length: 80}, (_, index) =>
    stage.node(`node-${index}`, homes),
  );
  await stage.timers.advanceAsync(30_000);
  t.true(nodes.every(node => node.subscriber.current() === undefined));
  t.true(asked < nodes.length * 20, `${asked} asked`);
  control.quorum = true;
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(8000);
  const versions = nodes.map(node => node.subscriber.current()?.version);
  t.deepEqual(new Set(versions), new Set([2]));
  t.like(control.fleet.summary(), {nodes: 80, inForce: 80});
});

// The same, but it is a relay that dies: its nodes have served all along and
// hold the newest version, so their move costs a digest each and no state.
test('nodes of a dead relay move to another without a new state', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook', 'drillvault']});
  const control = await stage.control('control-1', operator);
  const relays = [
    await stage.relay('relay-1', [control.address]),
    await stage.relay('relay-2', [control.address]),
  ];
  const homes = relays.map(({address}) => address);
  const nodes = Array.from({length: 60}, (_, index) =>
    stage.node(`node-${index}`, homes),
  );
  await stage.timers.advanceAsync(5000);
  const before = relays[1]!.distributor.counts();
  stage.network.kill('relay-1');
  await stage.timers.advanceAsync(3000);
  const after = relays[1]!.distributor.counts();
  t.is(after.subscribers, 60);
  t.is(after.snapshots, before.snapshots);
  t.is(after.deltas, before.deltas);
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(100);
  t.true(nodes.every(node => node.subscriber.current()!.version === 2));
});

import test from 'ava';
import {createHomeMesh} from '../distribution/home-mesh.js';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {
  createOperator,
  createTestCluster,
} from '../distribution/fakes/test-cluster.js';
import {createNodeTable} from './node-table.js';
import {joinSummaries} from './summary.js';
import type {HomeSummary, Pong} from './messages.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createChannels} from '../link/channel.js';
import type {Channels} from '../link/channel.js';

// Guards against a version that is reported in force while callers still get
// the old one. The home has sent version 2 but the push is in transit. Only the
// acknowledgement of the node after its switch counts.
test('a version counts as in force only after the node has switched', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address]);
  await cluster.timers.advanceAsync(2000);
  cluster.network.decide((source, _target, message) => {
    const isPush = JSON.stringify(message).includes('"push"');
    return source === 'control-1' && isPush ? 'hold' : 'deliver';
  });
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(100);
  t.is(control.distributor.position().version, 2);
  t.like(control.fleet.summary(), {version: 2, inForce: 0, behind: 1});
  t.deepEqual(control.fleet.summary().laggards, ['node-1']);
  cluster.network.decide(() => 'deliver');
  cluster.network.release();
  t.is(node.subscriber.current()!.version, 2);
  await cluster.timers.advanceAsync(10);
  t.like(control.fleet.summary(), {version: 2, inForce: 1, behind: 0});
});

test('nodes behind relays are counted, whatever their number', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const relays = [
    await cluster.relay('relay-1', [control.address]),
    await cluster.relay('relay-2', [control.address]),
  ];
  for (let index = 0; index < 60; index++) {
    cluster.node(`node-${index}`, [relays[index % 2]!.address]);
  }
  await cluster.timers.advanceAsync(5000);
  t.like(control.fleet.summary(), {nodes: 60, inForce: 60, unknown: 0});
});

// Guards against a failure domain that is reported as current although nothing
// has been received of it for a minute: its relay is cut off, and its last
// report was good.
test('the nodes of a lost relay become unknown, not in force', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const relay = await cluster.relay('relay-1', [control.address]);
  cluster.node('node-1', [relay.address]);
  await cluster.timers.advanceAsync(5000);
  t.like(control.fleet.summary(), {inForce: 1, unknown: 0});
  cluster.network.cut('relay-1', 'control-1');
  cluster.network.cut('control-1', 'relay-1');
  await cluster.timers.advanceAsync(6000);
  const summary = control.fleet.summary();
  t.like(summary, {nodes: 1, inForce: 0, unknown: 1});
  t.true(summary.homes.some(home => home.isStale));
});

test('without ages a lost relay would still count as in force', t => {
  const old = homeSummary({age: 60_000});
  t.is(joinSummaries(1, [{...old, age: 0}], [], true).inForce, 5);
  t.is(joinSummaries(1, [old], [], true).inForce, 0);
});

// Guards against outdated counts of the nodes of other control processes. An
// operator asks one control process while most nodes are attached to others;
// when the mesh between them is cut, their last reports become stale.
test('control processes report to each other what is in force at their nodes', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const first = await cluster.control('control-1', operator);
  const second = await cluster.control('control-2', operator);
  const meshes = [first, second].map(control => {
    const mesh = createHomeMesh({
      network: cluster.network.from(control.name),
      self: {
        kind: 'control',
        name: control.name,
        failureDomain: 'a',
        region: 'r',
      },
      address: control.address,
      peers: [first.address, second.address],
      timers: cluster.timers,
      random: createRandom(1),
      log: createSilentLog(),
    });
    mesh.onChannels(control.fleet.report);
    mesh.onReport(control.fleet.receiveReport);
    return mesh;
  });
  cluster.node('node-1', [first.address]);
  cluster.node('node-2', [second.address]);
  await cluster.timers.advanceAsync(5000);
  t.like(first.fleet.summary(), {nodes: 2, inForce: 2, unknown: 0});
  t.like(second.fleet.summary(), {nodes: 2, inForce: 2, unknown: 0});
  cluster.network.cut('control-1', 'control-2');
  cluster.network.cut('control-2', 'control-1');
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(6000);
  t.like(first.fleet.summary(), {nodes: 2, inForce: 1, unknown: 1});
  for (const mesh of meshes) mesh.stop();
});

test('a node lost without a goodbye is unknown and later removed', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  const control = await cluster.control('control-1', operator);
  cluster.node('node-1', [control.address]);
  const leaving = cluster.node('node-2', [control.address]);
  await cluster.timers.advanceAsync(2000);
  cluster.network.kill('node-1');
  leaving.home.stop();
  await cluster.timers.advanceAsync(100);
  t.like(control.fleet.summary(), {nodes: 1, unknown: 1, inForce: 0});
  await cluster.timers.advanceAsync(40_000);
  t.is(control.fleet.summary().unknown, 0);
});

test('a home with an older version counts no node as in force for a newer one', t => {
  const summary = joinSummaries(2, [homeSummary({})], [], true);
  t.like(summary, {inForce: 0, behind: 5, least: 1});
});

test('a summary is of bounded size', t => {
  const timers = createFakeTimers();
  const nodeTable = createNodeTable(timers);
  for (let index = 0; index < 500; index++) {
    const hello = {
      kind: 'node' as const,
      name: `node-${index}`,
      failureDomain: 'a',
      region: 'r',
    };
    nodeTable.add(hello, {} as Channels).version = index;
  }
  const summary = nodeTable.summarize('home', 499);
  t.is(summary.laggards.length, 20);
  t.is(summary.laggards[0], 'node-0');
  const [domain] = summary.domains;
  t.is(domain!.versions.length, 8);
  t.is(domain!.least, 0);
  const counted = domain!.versions.reduce((sum, one) => sum + one.nodes, 0);
  t.is(counted, 500);
});

function homeSummary(change: Partial<HomeSummary>): HomeSummary {
  return {
    home: 'relay-1',
    age: 0,
    version: 1,
    laggards: [],
    arrivals: [],
    domains: [
      {
        failureDomain: 'a',
        nodes: 5,
        unknown: 0,
        lost: [],
        starting: 0,
        least: 1,
        versions: [{version: 1, nodes: 5}],
      },
    ],
    ...change,
  };
}

// Guards against a wait for a change that fails after the loss of a relay. Its
// nodes are at another relay and have switched; if they were also counted at
// the old one, they would be unknown there. Nodes that did not arrive anywhere
// stay unknown.
test('nodes that left a dead home are counted at their new home', t => {
  const dead = homeSummary({age: 10_000});
  const arrival = (number: number, age: number) => ({
    node: `node-${number}`,
    from: 'relay-1',
    failureDomain: 'a',
    age,
  });
  const other = homeSummary({home: 'relay-2'});
  t.like(joinSummaries(1, [dead, other], [], true), {
    nodes: 10,
    inForce: 5,
    unknown: 5,
  });
  const arrivals = [1, 2, 3].map(number => arrival(number, 4000));
  const some = joinSummaries(1, [dead, other], arrivals, true);
  t.like(some, {nodes: 7, inForce: 5, unknown: 2});
  // This node moved before the last summary of the dead home, so it is not
  // among its five.
  const early = [...arrivals, arrival(4, 20_000)];
  const same = joinSummaries(1, [dead, other], early, true);
  t.like(same, {nodes: 7, inForce: 5, unknown: 2});
});

test('a node that moved is not unknown at a working home that lost it', t => {
  const lost = homeSummary({});
  const [domain] = lost.domains;
  const left = {...lost, domains: [{...domain!, unknown: 2, lost: ['x', 'y']}]};
  const arrivals = [{node: 'x', from: 'relay-1', failureDomain: 'a', age: 900}];
  const other = homeSummary({home: 'relay-2'});
  const summary = joinSummaries(1, [left, other], arrivals, true);
  t.like(summary, {nodes: 11, inForce: 10, unknown: 1});
});

// Guards against unknown nodes that are no longer counted while a region is cut
// off for ten minutes. Its relay is silent; the node that moved is counted at
// its new home, and the one that could not must stay unknown all the time.
test('the nodes of a home stay unknown for as long as it is cut off', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const relay = await cluster.relay('relay-1', [control.address]);
  cluster.node('node-1', [relay.address]);
  cluster.node('node-2', [
    {address: relay.address, failureDomain: 'a'},
    control.address,
  ]);
  await cluster.timers.advanceAsync(5000);
  t.like(control.fleet.summary(), {nodes: 2, inForce: 2, unknown: 0});
  for (const other of ['control-1', 'node-2']) {
    cluster.network.cut('relay-1', other);
    cluster.network.cut(other, 'relay-1');
  }
  await cluster.timers.advanceAsync(600_000);
  const summary = control.fleet.summary();
  t.like(summary, {nodes: 2, inForce: 1, unknown: 1, isSettled: true});
});

// Guards against a change that seems in force everywhere because a control
// process that has just started knows few nodes, while most nodes, at another
// control process, lack the change.
test('the summary of a control process that has just started is not settled', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const alone = await cluster.control('control-1', operator, {}, 1);
  cluster.node('node-1', [alone.address]);
  await cluster.timers.advanceAsync(4000);
  t.like(alone.fleet.summary(), {nodes: 1, inForce: 1, isSettled: false});
  const report = {...homeSummary({home: 'control-2'}), arrivals: []};
  alone.fleet.receiveReport({kind: 'report', summaries: [report]});
  t.like(alone.fleet.summary(), {nodes: 6, isSettled: true});
});

// Guards against missing nodes in the summary after a control process was
// replaced. The new one is in no settings; until its peers connect to it, its
// nodes are missing from what they report to operators.
test('a mesh connects to its peer homes as they change', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const first = await cluster.control('control-1', operator);
  const second = await cluster.control('control-2', operator);
  const joined = await cluster.control('control-4', operator);
  const mesh = createHomeMesh({
    network: cluster.network.from(first.name),
    self: {kind: 'control', name: first.name, failureDomain: 'a', region: 'r'},
    address: first.address,
    peers: [first.address, second.address],
    timers: cluster.timers,
    random: createRandom(1),
    log: createSilentLog(),
  });
  mesh.onChannels(first.fleet.report);
  mesh.onReport(first.fleet.receiveReport);
  cluster.node('node-1', [joined.address]);
  await cluster.timers.advanceAsync(5000);
  t.is(first.fleet.summary().nodes, 0);
  mesh.setPeers([first.address, joined.address]);
  await cluster.timers.advanceAsync(5000);
  t.like(first.fleet.summary(), {nodes: 1, inForce: 1});
  const homes = first.fleet.summary().homes;
  t.true(homes.find(({home}) => home === second.name)!.age > 4000);
  mesh.stop();
});

/**
 * Opens a link to a new control process; returns it with the answers received.
 */
async function openLink() {
  const cluster = createTestCluster();
  const control = await cluster.control('control-1', createOperator());
  const opening = cluster.network.from('node-1').connect(control.address);
  await cluster.timers.advanceAsync(10);
  const channels = createChannels(await opening);
  const answers: unknown[] = [];
  channels.on('fleet').onMessage(answer => void answers.push(answer));
  return {cluster, control, channels, answers};
}

// Guards against nodes that are counted as lost by homes that they only probed.
// A node that searches for a home probes several and attaches to one of them.
test('a process that only probes is answered and does not count as a node', async t => {
  const {cluster, control, channels, answers} = await openLink();
  channels.on('fleet').send({kind: 'ping', number: 0});
  await cluster.timers.advanceAsync(500);
  t.like(answers, [{kind: 'pong', number: 0, home: 'control-1'}]);
  t.is(control.fleet.summary().nodes, 0);
});

// Guards against links that stay open forever at this end, because a node was
// cut off after its probe.
test('a link without a hello is closed once it is silent', async t => {
  const {cluster, channels} = await openLink();
  let isClosed = false;
  channels.onClose(() => (isClosed = true));
  channels.on('fleet').send({kind: 'ping', number: 0});
  await cluster.timers.advanceAsync(6000);
  t.true(isClosed);
});

// Guards against a home that looks fresh after its VM was suspended, and against
// bytes of an age that says nothing new.
test('a home reports the time of a suspension until it is confirmed again', async t => {
  const {cluster, control, channels, answers} = await openLink();
  const ask = async (number: number) => {
    channels.on('fleet').send({kind: 'ping', number});
    await cluster.timers.advanceAsync(10);
    return answers.at(-1) as Pong;
  };
  await cluster.timers.advanceAsync(1000);
  t.is((await ask(1)).fullAge, undefined);
  control.quorum = false;
  cluster.timers.suspend(10_000);
  const {age, fullAge} = await ask(2);
  t.true(age! < 1000);
  t.is(fullAge, age! + 10_000);
  control.quorum = true;
  await cluster.timers.advanceAsync(500);
  t.is((await ask(3)).fullAge, undefined);
});

import test from 'ava';
import {createMesh} from '../distribution/mesh.js';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {createOperator, createStage} from '../distribution/fakes/stage.js';
import {createRoster} from './roster.js';
import {joinSummaries} from './summary.js';
import type {HomeSummary} from './messages.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createChannels} from '../link/channel.js';
import type {Channels} from '../link/channel.js';

// Operators would be told that a version is in force while callers still meet
// the old one. The home has sent version 2, but its push is still under way.
// What was sent says nothing; the node's own word after its switch does.
test('a version counts as in force only after the node switched', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const node = stage.node('node-1', [control.address]);
  await stage.timers.advanceAsync(2000);
  stage.network.decide((source, _target, message) => {
    const isPush = JSON.stringify(message).includes('"push"');
    return source === 'control-1' && isPush ? 'hold' : 'deliver';
  });
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(100);
  t.is(control.distributor.position().version, 2);
  t.like(control.fleet.summary(), {version: 2, inForce: 0, behind: 1});
  t.deepEqual(control.fleet.summary().laggards, ['node-1']);
  stage.network.decide(() => 'deliver');
  stage.network.release();
  t.is(node.subscriber.current()!.version, 2);
  await stage.timers.advanceAsync(10);
  t.like(control.fleet.summary(), {version: 2, inForce: 1, behind: 0});
});

test('nodes behind relays are summed, whatever their number', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const relays = [
    await stage.relay('relay-1', [control.address]),
    await stage.relay('relay-2', [control.address]),
  ];
  for (let index = 0; index < 60; index++) {
    stage.node(`node-${index}`, [relays[index % 2]!.address]);
  }
  await stage.timers.advanceAsync(5000);
  t.like(control.fleet.summary(), {nodes: 60, inForce: 60, unknown: 0});
});

// Operators would take a failure domain for current that nobody has heard of
// for a minute: its relay is cut off, and its last word was good.
test('what a lost relay spoke for becomes unknown, not in force', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const relay = await stage.relay('relay-1', [control.address]);
  stage.node('node-1', [relay.address]);
  await stage.timers.advanceAsync(5000);
  t.like(control.fleet.summary(), {inForce: 1, unknown: 0});
  stage.network.cut('relay-1', 'control-1');
  stage.network.cut('control-1', 'relay-1');
  await stage.timers.advanceAsync(6000);
  const summary = control.fleet.summary();
  t.like(summary, {nodes: 1, inForce: 0, unknown: 1});
  t.true(summary.homes.some(home => home.isStale));
});

test('without ages a lost relay would still count as in force', t => {
  const old = homeSummary({age: 60_000});
  t.is(joinSummaries(1, [{...old, age: 0}], [], true).inForce, 5);
  t.is(joinSummaries(1, [old], [], true).inForce, 0);
});

// An operator asks one control process while most nodes are at the others. When
// the mesh between them is cut, what the others said last grows old.
test('control processes tell each other what is in force at their nodes', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const first = await stage.control('control-1', operator);
  const second = await stage.control('control-2', operator);
  const meshes = [first, second].map(control => {
    const mesh = createMesh({
      network: stage.network.from(control.name),
      self: {
        kind: 'control',
        name: control.name,
        failureDomain: 'a',
        region: 'r',
      },
      address: control.address,
      peers: [first.address, second.address],
      timers: stage.timers,
      random: createRandom(1),
      log: createSilentLog(),
    });
    mesh.onChannels(control.fleet.report);
    mesh.onReport(control.fleet.receive);
    return mesh;
  });
  stage.node('node-1', [first.address]);
  stage.node('node-2', [second.address]);
  await stage.timers.advanceAsync(5000);
  t.like(first.fleet.summary(), {nodes: 2, inForce: 2, unknown: 0});
  t.like(second.fleet.summary(), {nodes: 2, inForce: 2, unknown: 0});
  stage.network.cut('control-1', 'control-2');
  stage.network.cut('control-2', 'control-1');
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(6000);
  t.like(first.fleet.summary(), {nodes: 2, inForce: 1, unknown: 1});
  for (const mesh of meshes) mesh.stop();
});

test('a node lost without a goodbye is unknown, later forgotten', async t => {
  const stage = createStage();
  const operator = createOperator();
  const control = await stage.control('control-1', operator);
  stage.node('node-1', [control.address]);
  const leaving = stage.node('node-2', [control.address]);
  await stage.timers.advanceAsync(2000);
  stage.network.kill('node-1');
  leaving.home.stop();
  await stage.timers.advanceAsync(100);
  t.like(control.fleet.summary(), {nodes: 1, unknown: 1, inForce: 0});
  await stage.timers.advanceAsync(40_000);
  t.is(control.fleet.summary().unknown, 0);
});

test('a home that knows an older version speaks for no newer one', t => {
  const summary = joinSummaries(2, [homeSummary({})], [], true);
  t.like(summary, {inForce: 0, behind: 5, least: 1});
});

test('a summary is of bounded size', t => {
  const timers = createFakeTimers();
  const roster = createRoster(timers);
  for (let index = 0; index < 500; index++) {
    const hello = {
      kind: 'node' as const,
      name: `node-${index}`,
      failureDomain: 'a',
      region: 'r',
    };
    roster.add(hello, {} as Channels).version = index;
  }
  const summary = roster.summarize('home', 499);
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

// An operator waits for a change after a relay died. Its nodes are at another
// relay and have switched; counted where they were as well, they would be
// unknown there and the wait would end as not in force. Nodes that did not
// come anywhere stay unknown.
test('nodes that left a dead home are counted where they are', t => {
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
  // Came before the dead home was last heard, so not among its five.
  const early = [...arrivals, arrival(4, 20_000)];
  const same = joinSummaries(1, [dead, other], early, true);
  t.like(same, {nodes: 7, inForce: 5, unknown: 2});
});

test('a node that moved is not unknown at the living home that lost it', t => {
  const lost = homeSummary({});
  const [domain] = lost.domains;
  const left = {...lost, domains: [{...domain!, unknown: 2, lost: ['x', 'y']}]};
  const arrivals = [{node: 'x', from: 'relay-1', failureDomain: 'a', age: 900}];
  const other = homeSummary({home: 'relay-2'});
  const summary = joinSummaries(1, [left, other], arrivals, true);
  t.like(summary, {nodes: 11, inForce: 10, unknown: 1});
});

// An operator waits for a change while a region is cut off for ten minutes. Its
// relay is silent; the node that could come over is counted where it is, and
// the one that could not must stay unknown all the while.
test('a home that is cut off for long keeps its nodes unknown', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const relay = await stage.relay('relay-1', [control.address]);
  stage.node('node-1', [relay.address]);
  stage.node('node-2', [
    {address: relay.address, failureDomain: 'a'},
    control.address,
  ]);
  await stage.timers.advanceAsync(5000);
  t.like(control.fleet.summary(), {nodes: 2, inForce: 2, unknown: 0});
  for (const other of ['control-1', 'node-2']) {
    stage.network.cut('relay-1', other);
    stage.network.cut(other, 'relay-1');
  }
  await stage.timers.advanceAsync(600_000);
  const summary = control.fleet.summary();
  t.like(summary, {nodes: 2, inForce: 1, unknown: 1, isSettled: true});
});

// An operator asks a control process that has just started and has heard of a
// few nodes only. Were they taken for all, the change would seem in force
// everywhere while most nodes, at the other control process, lack it.
test('a control process that just started does not speak for all', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const alone = await stage.control('control-1', operator, {}, 1);
  stage.node('node-1', [alone.address]);
  await stage.timers.advanceAsync(4000);
  t.like(alone.fleet.summary(), {nodes: 1, inForce: 1, isSettled: false});
  const report = {...homeSummary({home: 'control-2'}), arrivals: []};
  alone.fleet.receive({kind: 'report', summaries: [report]});
  t.like(alone.fleet.summary(), {nodes: 6, isSettled: true});
});

// A control process that replaced another one is in nobody's settings. Until
// its fellows link to it, its nodes are missing from what they tell operators.
test('a mesh follows its fellows as they change', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const first = await stage.control('control-1', operator);
  const second = await stage.control('control-2', operator);
  const joined = await stage.control('control-4', operator);
  const mesh = createMesh({
    network: stage.network.from(first.name),
    self: {kind: 'control', name: first.name, failureDomain: 'a', region: 'r'},
    address: first.address,
    peers: [first.address, second.address],
    timers: stage.timers,
    random: createRandom(1),
    log: createSilentLog(),
  });
  mesh.onChannels(first.fleet.report);
  mesh.onReport(first.fleet.receive);
  stage.node('node-1', [joined.address]);
  await stage.timers.advanceAsync(5000);
  t.is(first.fleet.summary().nodes, 0);
  mesh.follow([first.address, joined.address]);
  await stage.timers.advanceAsync(5000);
  t.like(first.fleet.summary(), {nodes: 1, inForce: 1});
  const homes = first.fleet.summary().homes;
  t.true(homes.find(({home}) => home === second.name)!.age > 4000);
  mesh.stop();
});

/** Opens a bare link to a new control process and returns what it answers. */
async function openLink() {
  const stage = createStage();
  const control = await stage.control('control-1', createOperator());
  const opening = stage.network.from('node-1').connect(control.address);
  await stage.timers.advanceAsync(10);
  const channels = createChannels(await opening);
  const answers: unknown[] = [];
  channels.on('fleet').onMessage(answer => void answers.push(answer));
  return {stage, control, channels, answers};
}

// A node that looks for a home asks several, and links to one of them. The
// others would count it as theirs, and then as lost.
test('who only asks is answered and does not count as a node', async t => {
  const {stage, control, channels, answers} = await openLink();
  channels.on('fleet').send({kind: 'ping', number: 0});
  await stage.timers.advanceAsync(500);
  t.like(answers, [{kind: 'pong', number: 0, home: 'control-1'}]);
  t.is(control.fleet.summary().nodes, 0);
});

// A node asks and is cut off. Nothing ever ends its link at this end.
test('a link without a hello is closed once it is silent', async t => {
  const {stage, channels} = await openLink();
  let isClosed = false;
  channels.onClose(() => (isClosed = true));
  channels.on('fleet').send({kind: 'ping', number: 0});
  await stage.timers.advanceAsync(6000);
  t.true(isClosed);
});

import test from 'ava';
import {createOperator, createStage} from './fakes/stage.js';
import type {HomeAddress} from '../fleet/messages.js';
import type {HomeOptions} from './home-options.js';

type Safeguards = HomeOptions['safeguards'];

// A node keeps an old version for as long as a partition lasts. Its home is a
// control VM that is cut off from the quorum, while the link to the node is up
// and answers each ping. Only the age of the home's mark tells.
async function isolateHome(safeguards: Safeguards) {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const other = await stage.control('control-2', operator);
  let shown = operator.current();
  let isCut = false;
  const nearest = await stage.control('control-1', {
    ...operator,
    current: () => (isCut ? shown : operator.current()),
  });
  const homes = [{address: nearest.address, failureDomain: 'a'}, other.address];
  const node = stage.node('node-1', homes, {}, {safeguards});
  await stage.timers.advanceAsync(3000);
  if (node.home.address() !== nearest.address) throw new Error('not nearest');
  shown = operator.current();
  isCut = true;
  nearest.quorum = false;
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(6000);
  return {node, other, nearest, stage};
}

test('without the mark a node stays with an isolated home', async t => {
  const {node, nearest} = await isolateHome({freshness: false});
  t.is(node.home.address(), nearest.address);
  t.is(node.subscriber.current()!.version, 1);
});

test('a home whose mark is old loses its nodes to another', async t => {
  const {node, other} = await isolateHome({});
  t.is(node.home.address(), other.address);
  t.deepEqual(node.versions, [1, 2]);
});

// A node keeps an old version since its link is dead without a sign: the
// home's VM lost its power, so no FIN and no reset ever came.
async function silenceHome(safeguards: Safeguards) {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const nearest = await stage.control('control-1', operator);
  const other = await stage.control('control-2', operator);
  const homes = [{address: nearest.address, failureDomain: 'a'}, other.address];
  const node = stage.node('node-1', homes, {}, {safeguards});
  await stage.timers.advanceAsync(3000);
  stage.network.cut('node-1', 'control-1');
  stage.network.cut('control-1', 'node-1');
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(6000);
  return {node, other, nearest, stage};
}

test('without heartbeats a dead link is kept', async t => {
  const {node} = await silenceHome({silence: false, freshness: false});
  t.is(node.subscriber.current()!.version, 1);
});

test('a link that is dead without a sign is noticed at both ends', async t => {
  const {node, other, nearest} = await silenceHome({});
  t.is(node.home.address(), other.address);
  t.is(node.subscriber.current()!.version, 2);
  t.is(nearest.distributor.counts().subscribers, 0);
});

// A partition holds back the answer to a ping for a minute. Taken for the time
// at which it arrives, its small age would make an old state look fresh.
test('a delayed answer does not make an old state look fresh', async t => {
  const stage = createStage();
  const operator = createOperator();
  const control = await stage.control('control-1', operator);
  const silence = {silence: false, freshness: false};
  const node = stage.node(
    'node-1',
    [control.address],
    {},
    {safeguards: silence},
  );
  await stage.timers.advanceAsync(2000);
  stage.network.decide(source => (source === 'control-1' ? 'hold' : 'deliver'));
  await stage.timers.advanceAsync(1500);
  const cutAt = stage.timers.now();
  stage.network.cut('node-1', 'control-1');
  await stage.timers.advanceAsync(60_000);
  stage.network.release();
  t.true(node.home.asOf()! <= cutAt);
});

// A region is cut off for ten minutes, so no home there has a fresh mark. Nodes
// that went round them all the while would load what is left of the region.
test('when all homes have old marks a node seldom changes them', async t => {
  const {node, other, stage} = await isolateHome({});
  other.quorum = false;
  let links = 0;
  node.home.onChannels(() => links++);
  links = 0;
  await stage.timers.advanceAsync(600_000);
  t.is(node.home.state(), 'attached');
  t.true(links <= 12, `${links} links`);
});

test('a node goes back to its nearest home once that works again', async t => {
  const {node, nearest, stage} = await isolateHome({});
  nearest.quorum = true;
  await stage.timers.advanceAsync(120_000);
  t.is(node.home.address(), nearest.address);
});

// All control VMs of a node's settings are replaced over the months while the
// node runs on. When the last of them goes, the node has nowhere to ask and
// keeps its version for good, unless its home told it of the new ones.
async function replaceAllHomes(isTold: boolean) {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  let homes: readonly HomeAddress[] = [];
  const present = () => (isTold ? homes : []);
  const old = await stage.control('control-1', operator, {}, 0, present);
  const node = stage.node('node-1', [old.address]);
  await stage.timers.advanceAsync(3000);
  const joined = await stage.control('control-4', operator);
  homes = [{address: joined.address, failureDomain: 'a'}];
  await stage.timers.advanceAsync(3000);
  const before = node.home.address();
  stage.network.kill('control-1');
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(20_000);
  return {node, old, joined, before};
}

test('without being told a node whose homes were all replaced keeps an old version', async t => {
  const {node} = await replaceAllHomes(false);
  t.deepEqual(node.versions, [1]);
});

test('a node whose homes were all replaced goes to one it was told of', async t => {
  const {node, old, joined, before} = await replaceAllHomes(true);
  t.is(before, old.address);
  t.is(node.home.address(), joined.address);
  t.deepEqual(node.versions, [1, 2]);
});

// A node can't read what its homes send, as after an upgrade that came to
// control first. Each home is fresh and none is any better, so a node that went
// round them would ask each for its whole state, again and again.
test('a node that can’t read new versions seldom changes its home', async t => {
  const {stage, operator, node} = await attachToThree();
  stage.network.decide((_source, _target, message) =>
    JSON.stringify(message).includes('"push"') ? 'drop' : 'deliver',
  );
  let links = 0;
  node.home.onChannels(() => links++);
  operator.accept({put: ['crewbook']});
  await stage.timers.advanceAsync(600_000);
  t.is(node.home.state(), 'attached');
  t.true(links <= 30, `${links} links`);
});

async function attachToThree() {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const homes: string[] = [];
  for (const name of ['control-1', 'control-2', 'control-3']) {
    homes.push((await stage.control(name, operator)).address);
  }
  const node = stage.node('node-1', homes);
  await stage.timers.advanceAsync(3000);
  return {stage, operator, node};
}

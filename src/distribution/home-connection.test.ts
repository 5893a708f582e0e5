import test from 'ava';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {HomeAddress} from '../fleet/messages.js';
import type {HomeConnectionOptions} from './home-connection-options.js';

type Safeguards = HomeConnectionOptions['safeguards'];

// Guards against a node that keeps an old version for as long as a partition
// lasts. Its home is a control VM that is cut off from the quorum, while the
// link to the node works and each ping is answered. Only the age in the
// freshness mark shows the fault.
async function isolateHome(safeguards: Safeguards) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const other = await cluster.control('control-2', operator);
  let shownConfiguration = operator.current();
  let isIsolated = false;
  const nearest = await cluster.control('control-1', {
    ...operator,
    current: () => (isIsolated ? shownConfiguration : operator.current()),
  });
  const homes = [{address: nearest.address, failureDomain: 'a'}, other.address];
  const node = cluster.node('node-1', homes, {}, {safeguards});
  await cluster.timers.advanceAsync(3000);
  if (node.home.address() !== nearest.address) throw new Error('not nearest');
  shownConfiguration = operator.current();
  isIsolated = true;
  nearest.quorum = false;
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(6000);
  return {node, other, nearest, cluster};
}

test('without the freshness check a node stays with an isolated home', async t => {
  const {node, nearest} = await isolateHome({freshness: false});
  t.is(node.home.address(), nearest.address);
  t.is(node.subscriber.current()!.version, 1);
});

test('a node leaves a home whose mark is old for another', async t => {
  const {node, other} = await isolateHome({});
  t.is(node.home.address(), other.address);
  t.deepEqual(node.versions, [1, 2]);
});

// Guards against a node that keeps an old version because its link failed
// without being closed: the VM of the home lost its power, so neither a FIN nor
// a reset arrives.
async function silenceHome(safeguards: Safeguards) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const nearest = await cluster.control('control-1', operator);
  const other = await cluster.control('control-2', operator);
  const homes = [{address: nearest.address, failureDomain: 'a'}, other.address];
  const node = cluster.node('node-1', homes, {}, {safeguards});
  await cluster.timers.advanceAsync(3000);
  cluster.network.cut('node-1', 'control-1');
  cluster.network.cut('control-1', 'node-1');
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(6000);
  return {node, other, nearest, cluster};
}

test('without the silence check a dead link is kept', async t => {
  const {node} = await silenceHome({silence: false, freshness: false});
  t.is(node.subscriber.current()!.version, 1);
});

test('a link that failed without being closed is detected at both ends', async t => {
  const {node, other, nearest} = await silenceHome({});
  t.is(node.home.address(), other.address);
  t.is(node.subscriber.current()!.version, 2);
  t.is(nearest.distributor.counts().subscribers, 0);
});

// Guards against an old state that looks fresh. A partition delays the answer
// to a ping for a minute; if its small age counted from the arrival, the state
// would seem to have been confirmed just now.
test('a delayed answer does not make an old state look fresh', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  const control = await cluster.control('control-1', operator);
  const silence = {silence: false, freshness: false};
  const node = cluster.node(
    'node-1',
    [control.address],
    {},
    {safeguards: silence},
  );
  await cluster.timers.advanceAsync(2000);
  cluster.network.decide(from => (from === 'control-1' ? 'hold' : 'deliver'));
  await cluster.timers.advanceAsync(1500);
  const cutAt = cluster.timers.now();
  cluster.network.cut('node-1', 'control-1');
  await cluster.timers.advanceAsync(60_000);
  cluster.network.release();
  t.true(node.home.asOf()! <= cutAt);
});

// Guards against the load of nodes that change homes all the time. A region is
// cut off for ten minutes, so that no home in it has a fresh mark.
// Guards against a node on a slow link that attaches to a home without a quorum,
// as the home that has one answers after the first round of probes.
test('a node whose link is slow attaches to no home without a quorum while others have not answered', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const nearest = await cluster.control('control-1', operator);
  const other = await cluster.control('control-2', operator);
  nearest.quorum = false;
  await cluster.timers.advanceAsync(10_000);
  cluster.network.slow('node-1', 700);
  const homes = [{address: nearest.address, failureDomain: 'a'}, other.address];
  const node = cluster.node('node-1', homes);
  const attached: string[] = [];
  node.home.onChannels(() => attached.push(node.home.address()));
  await cluster.timers.advanceAsync(5_000);
  t.deepEqual(attached, [other.address]);
});

test('a node rarely changes its home while all homes have old marks', async t => {
  const {node, other, cluster} = await isolateHome({});
  other.quorum = false;
  let links = 0;
  node.home.onChannels(() => links++);
  links = 0;
  await cluster.timers.advanceAsync(600_000);
  t.is(node.home.state(), 'attached');
  t.true(links <= 12, `${links} links`);
});

// Guards against control processes that can't elect a leader because all nodes
// probe all of them all the time while there is none.
test('a node probes few homes at a time while no home has a fresh mark', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const homes = await Promise.all(
    Array.from({length: 12}, (_, at) =>
      cluster.control(`home-${at}`, operator),
    ),
  );
  const addresses = homes.map(({address}) => address);
  const node = cluster.node('node-1', addresses);
  await cluster.timers.advanceAsync(5_000);
  for (const home of homes) home.quorum = false;
  await cluster.timers.advanceAsync(5_000);
  let probes = 0;
  const attached = homes.findIndex(
    home => home.address === node.home.address(),
  );
  cluster.network.decide((source, target, message) => {
    const {body} = message as {body: {kind?: string}};
    const isToOther = target !== `home-${attached}`;
    if (source === 'node-1' && isToOther && body.kind === 'ping') probes++;
    return 'deliver';
  });
  await cluster.timers.advanceAsync(60_000);
  t.true(probes > 60 && probes <= 4 * 40, `${probes} probes`);
});

test('a node returns to its nearest home once that works again', async t => {
  const {node, nearest, cluster} = await isolateHome({});
  nearest.quorum = true;
  await cluster.timers.advanceAsync(120_000);
  t.is(node.home.address(), nearest.address);
});

// Guards against a node that keeps its version forever because it has no home
// left. All control VMs in its settings are replaced over the months while it
// runs; it needs the addresses of the new ones from its home.
async function replaceAllHomes(isInformed: boolean) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  let homes: readonly HomeAddress[] = [];
  const listHomes = () => (isInformed ? homes : []);
  const oldHome = await cluster.control(
    'control-1',
    operator,
    {},
    0,
    listHomes,
  );
  const node = cluster.node('node-1', [oldHome.address]);
  await cluster.timers.advanceAsync(3000);
  const newHome = await cluster.control('control-4', operator);
  homes = [{address: newHome.address, failureDomain: 'a'}];
  await cluster.timers.advanceAsync(3000);
  const addressBefore = node.home.address();
  cluster.network.kill('control-1');
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(20_000);
  return {node, oldHome, newHome, addressBefore};
}

test('a node that does not learn the new homes keeps an old version after all its homes were replaced', async t => {
  const {node} = await replaceAllHomes(false);
  t.deepEqual(node.versions, [1]);
});

test('a node whose homes were all replaced connects to one that it learned', async t => {
  const {node, oldHome, newHome, addressBefore} = await replaceAllHomes(true);
  t.is(addressBefore, oldHome.address);
  t.is(node.home.address(), newHome.address);
  t.deepEqual(node.versions, [1, 2]);
});

// Guards against nodes that receive all changes from another failure domain,
// because the settings name their homes without failure domains.
test('a node moves to a home of its failure domain soon after it learned of it', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  let homes: readonly HomeAddress[] = [];
  const listHomes = () => homes;
  const far = await cluster.control('control-1', operator, {}, 0, listHomes);
  const near = await cluster.control('control-2', operator, {}, 0, listHomes);
  homes = [
    {address: far.address, failureDomain: 'b'},
    {address: near.address, failureDomain: 'a'},
  ];
  const node = cluster.node('node-1', [far.address]);
  let links = 0;
  node.home.onChannels(() => links++);
  await cluster.timers.advanceAsync(5_000);
  t.is(node.home.address(), near.address);
  await cluster.timers.advanceAsync(120_000);
  t.is(node.home.address(), near.address);
  t.is(links, 2);
  t.deepEqual(node.versions, [1]);
});

// Guards against a node that requests its whole state from one home after the
// other, again and again, because it cannot read the pushes, as after an
// upgrade that reached control first. Every home is fresh and none is better
// than the others.
test('a node that cannot read new versions rarely changes its home', async t => {
  const {cluster, operator, node} = await attachToThree();
  cluster.network.decide((_source, _target, message) =>
    JSON.stringify(message).includes('"push"') ? 'drop' : 'deliver',
  );
  let links = 0;
  node.home.onChannels(() => links++);
  operator.accept({put: ['crewbook']});
  await cluster.timers.advanceAsync(600_000);
  t.is(node.home.state(), 'attached');
  t.true(links <= 30, `${links} links`);
});

async function attachToThree() {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const homes: string[] = [];
  for (const name of ['control-1', 'control-2', 'control-3']) {
    homes.push((await cluster.control(name, operator)).address);
  }
  const node = cluster.node('node-1', homes);
  await cluster.timers.advanceAsync(3000);
  return {cluster, operator, node};
}

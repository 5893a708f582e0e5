import {isDeepStrictEqual} from 'node:util';
import test from 'ava';
import type {Configuration} from '../configuration/configuration.js';
import {createRandom} from '../random/random.js';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {Change} from './fakes/test-cluster.js';
import type {Push} from './messages.js';
import type {SubscriberSafeguards} from './subscriber.js';

/** Returns the push in a message, or undefined. */
function pushOf(message: unknown): Push | undefined {
  const {body} = message as {body: Push};
  return body.kind === 'push' ? body : undefined;
}

// Guards against a route that operators have replaced coming back into force.
// The first state is duplicated on its way and the copy arrives after a newer
// version is in force. The copy is whole and has a valid digest, so only the
// rule that versions never decrease rejects it.
async function receiveDuplicate(safeguards: Partial<SubscriberSafeguards>) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['stock-desk']});
  const control = await cluster.control('control-1', operator);
  cluster.network.decide((_source, _target, message) => {
    if (pushOf(message)?.version !== 1) return 'deliver';
    cluster.timers.after(0.5, () => operator.accept({put: ['parts-files']}));
    return 'double';
  });
  const node = cluster.node('node-1', [control.address], {safeguards});
  await cluster.timers.advanceAsync(50);
  return node.subscriber.current()!.version;
}

test('without the check of versions a duplicated push restores an old state', async t => {
  t.is(await receiveDuplicate({monotonic: false, proof: false}), 1);
});

test('a duplicated push does not restore an old state', async t => {
  t.is(await receiveDuplicate({proof: false}), 2);
  t.is(await receiveDuplicate({}), 2);
});

// Guards against a state that no operator has accepted: version 3 with one
// section of version 1. The push of version 2 is lost; that of version 3 has
// only the changes since 2. Its digest covers the whole state, so the gap is
// detected before the state comes into force.
async function losePush(safeguards: Partial<SubscriberSafeguards>) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook', 'drillvault']});
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address], {safeguards});
  await cluster.timers.advanceAsync(100);
  cluster.network.decide((_source, _target, message) =>
    pushOf(message)?.version === 2 ? 'drop' : 'deliver',
  );
  operator.accept({put: ['crewbook']});
  const states: Configuration[] = [];
  node.subscriber.onSwitch(state => states.push(state));
  operator.accept({put: ['drillvault']});
  await cluster.timers.advanceAsync(100);
  return {states, accepted: operator.accepted(), node};
}

test('without the check of digests a lost push leads to a mixed state', async t => {
  const {states, accepted} = await losePush({digest: false});
  t.is(states[0]!.version, 3);
  t.notDeepEqual(states[0], accepted);
});

test('a lost push is detected by the next one and its sections are requested', async t => {
  const {states, accepted, node} = await losePush({});
  t.deepEqual(states, [accepted]);
  t.like(node.subscriber.counts(), {refusals: 1});
});

test('a lost push without a successor is detected by the freshness mark', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address]);
  await cluster.timers.advanceAsync(100);
  cluster.network.decide((_source, _target, message) =>
    pushOf(message)?.sections ? 'drop' : 'deliver',
  );
  operator.accept({put: ['stock-desk']});
  await cluster.timers.advanceAsync(10);
  cluster.network.decide(() => 'deliver');
  await cluster.timers.advanceAsync(2000);
  t.deepEqual(node.subscriber.current(), operator.current());
});

test('reordered pushes lead to the newest state, through accepted states only', async t => {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook', 'drillvault']});
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address]);
  await cluster.timers.advanceAsync(100);
  const accepted = new Map([[1, operator.accepted()]]);
  node.subscriber.onSwitch(state =>
    t.deepEqual(state, accepted.get(state.version)),
  );
  cluster.network.decide((_source, _target, message) =>
    pushOf(message) ? 'hold' : 'deliver',
  );
  for (const put of [['crewbook'], ['drillvault'], ['stock-desk']]) {
    operator.accept({put});
    accepted.set(operator.accepted().version, operator.accepted());
  }
  cluster.network.decide(() => 'deliver');
  cluster.network.release(true);
  await cluster.timers.advanceAsync(100);
  t.deepEqual(node.subscriber.current(), operator.current());
});

// Guards against sections of version 1 under the number of version 3. The push
// of version 2 is lost, and version 3 changes nothing that this node receives,
// so its push has no sections. It therefore names the version on which it is
// based.
async function loseBase(safeguards: Partial<SubscriberSafeguards>) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await cluster.control('control-1', operator);
  const node = cluster.node('node-1', [control.address], {
    services: ['crewbook'],
    safeguards,
  });
  await cluster.timers.advanceAsync(100);
  cluster.network.decide((_source, _target, message) =>
    pushOf(message)?.version === 2 ? 'drop' : 'deliver',
  );
  operator.accept({put: ['crewbook']});
  operator.accept({put: ['drillvault']});
  await cluster.timers.advanceAsync(100);
  const {version, services} = node.subscriber.current()!;
  const wanted = operator.accepted().services.get('crewbook');
  return {
    version,
    isAccepted: isDeepStrictEqual(services.get('crewbook'), wanted),
  };
}

test('without the check of the base an empty push raises the version of an old state', async t => {
  t.deepEqual(await loseBase({digest: false}), {version: 3, isAccepted: false});
});

test('an empty push for a lost base is refused and the state is repaired', async t => {
  t.deepEqual(await loseBase({}), {version: 3, isAccepted: true});
});

// Guards against a route without a policy in force. A faulty source sends a
// section without the policy of its route, with a valid digest; the check of
// references refuses it and the old version stays in force.
async function receiveDangling(safeguards: Partial<SubscriberSafeguards>) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['stock-desk']});
  let shown = operator.current();
  let notify = () => {};
  const control = await cluster.control('control-1', {
    ...operator,
    current: () => shown,
    onChange: observe => (notify = observe),
  });
  const node = cluster.node('node-1', [control.address], {safeguards});
  await cluster.timers.advanceAsync(100);
  shown = {...shown, version: 2, policies: new Map()};
  notify();
  await cluster.timers.advanceAsync(100);
  return node.subscriber;
}

test('without the check of references a route has no policy', async t => {
  const subscriber = await receiveDangling({references: false});
  t.is(subscriber.current()!.version, 2);
  t.is(subscriber.current()!.policies.size, 0);
});

test('a state with a route without a policy is refused', async t => {
  const subscriber = await receiveDangling({});
  t.is(subscriber.current()!.version, 1);
  t.true(subscriber.counts().refusals > 0);
});

// Guards against wrong states under combined faults: services and routes are
// added, changed and removed, the interest of the node changes, and the network
// drops, duplicates and delays pushes. Each state in force must be part of one
// accepted version, limited to the interest of the node, without dangling
// references and never older than the one before.
async function runChurn(
  seed: number,
  safeguards: Partial<SubscriberSafeguards>,
) {
  const random = createRandom(seed);
  const cluster = createTestCluster(seed);
  const operator = createOperator();
  const control = await cluster.control('control-1', operator);
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const node = cluster.node('node-1', [control.address], {
    services: names.slice(0, 3),
    safeguards,
  });
  const accepted = new Map([[0, operator.accepted()]]);
  const counts = {wrong: 0, dangling: 0, back: 0, switches: 0};
  let last = 0;
  node.subscriber.onSwitch(state => {
    counts.switches++;
    if (state.version < last) counts.back++;
    last = state.version;
    if (!isPartOf(state, accepted.get(state.version)!)) counts.wrong++;
    for (const route of state.routes.values()) {
      if (!state.services.has(route.service)) counts.dangling++;
      if (!state.policies.has(route.policy)) counts.dangling++;
    }
  });
  cluster.network.decide((_source, _target, message) => {
    if (pushOf(message) === undefined) return 'deliver';
    return random.pick(['deliver', 'deliver', 'drop', 'double', 'hold']);
  });
  for (let step = 0; step < 60; step++) {
    operator.accept(chooseChange(names, random.integer(100)));
    accepted.set(operator.accepted().version, operator.accepted());
    const first = random.integer(4);
    if (step % 10 === 5) node.subscriber.subscribe(names.slice(first));
    if (step % 7 === 3) cluster.network.release(random.integer(2) === 0);
    await cluster.timers.advanceAsync(random.integer(300));
  }
  cluster.network.decide(() => 'deliver');
  node.subscriber.subscribe('all');
  await cluster.timers.advanceAsync(10_000);
  const isCurrent = isDeepStrictEqual(
    node.subscriber.current(),
    operator.accepted(),
  );
  return {...counts, isCurrent};
}

function chooseChange(names: readonly string[], choice: number): Change {
  const name = names[choice % names.length]!;
  if (choice < 20) return {remove: [name]};
  if (choice < 30) return {deadline: choice};
  return {put: [name]};
}

/** Returns whether a state is an accepted one, limited to its services. */
function isPartOf(state: Configuration, accepted: Configuration): boolean {
  for (const [name, service] of state.services) {
    if (!isDeepStrictEqual(service, accepted.services.get(name))) return false;
    if (!isDeepStrictEqual(state.routes.get(name), accepted.routes.get(name)))
      return false;
  }
  for (const [name, policy] of state.policies) {
    if (!isDeepStrictEqual(policy, accepted.policies.get(name))) return false;
  }
  return true;
}

test('under churn each state in force is accepted, without dangling references and newer', async t => {
  for (let seed = 1; seed <= 8; seed++) {
    const counts = await runChurn(seed, {});
    t.like(counts, {wrong: 0, dangling: 0, back: 0, isCurrent: true});
    t.true(counts.switches > 10);
  }
});

test('without the checks churn leads to mixed states', async t => {
  const unchecked = {digest: false, references: false, monotonic: false};
  let wrong = 0;
  for (let seed = 1; seed <= 8; seed++) {
    const counts = await runChurn(seed, unchecked);
    wrong += counts.wrong + counts.back;
  }
  t.true(wrong > 0);
});

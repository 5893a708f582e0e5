import {isDeepStrictEqual} from 'node:util';
import test from 'ava';
import type {Configuration} from '../configuration/configuration.js';
import {createRandom} from '../random/random.js';
import {createOperator, createStage} from './fakes/stage.js';
import type {Change} from './fakes/stage.js';
import type {Push} from './messages.js';
import type {SubscriberSafeguards} from './subscriber.js';

/** The push in a message, or undefined. */
function pushOf(message: unknown): Push | undefined {
  const {body} = message as {body: Push};
  return body.kind === 'push' ? body : undefined;
}

// Callers would be sent along a route that operators have replaced. The first
// state is doubled on its way and the copy arrives after a newer version came
// into force. The copy is whole and its digest is right, so only the rule that
// versions rise keeps it out.
async function receiveDoubled(safeguards: Partial<SubscriberSafeguards>) {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['stock-desk']});
  const control = await stage.control('control-1', operator);
  stage.network.decide((_source, _target, message) => {
    if (pushOf(message)?.version !== 1) return 'deliver';
    stage.timers.after(0.5, () => operator.accept({put: ['parts-files']}));
    return 'double';
  });
  const node = stage.node('node-1', [control.address], {safeguards});
  await stage.timers.advanceAsync(50);
  return node.subscriber.current()!.version;
}

test('without rising versions a doubled push takes the node back', async t => {
  t.is(await receiveDoubled({monotonic: false, proof: false}), 1);
});

test('a doubled push does not take the node back', async t => {
  t.is(await receiveDoubled({proof: false}), 2);
  t.is(await receiveDoubled({}), 2);
});

// Callers would meet a state that no operator ever accepted: version 3 with
// one section still of version 1. The push of version 2 is lost, that of
// version 3 arrives and carries only what changed since 2. Its digest covers
// the whole state, so the gap shows before the pointer is swapped.
async function losePush(safeguards: Partial<SubscriberSafeguards>) {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook', 'drillvault']});
  const control = await stage.control('control-1', operator);
  const node = stage.node('node-1', [control.address], {safeguards});
  await stage.timers.advanceAsync(100);
  stage.network.decide((_source, _target, message) =>
    pushOf(message)?.version === 2 ? 'drop' : 'deliver',
  );
  operator.accept({put: ['crewbook']});
  const states: Configuration[] = [];
  node.subscriber.onSwitch(state => states.push(state));
  operator.accept({put: ['drillvault']});
  await stage.timers.advanceAsync(100);
  return {states, accepted: operator.accepted(), node};
}

test('without digests a lost push shows a mixed state', async t => {
  const {states, accepted} = await losePush({digest: false});
  t.is(states[0]!.version, 3);
  t.notDeepEqual(states[0], accepted);
});

test('a lost push is noticed by the next and its sections are asked for', async t => {
  const {states, accepted, node} = await losePush({});
  t.deepEqual(states, [accepted]);
  t.like(node.subscriber.counts(), {refusals: 1});
});

test('a lost push that nothing follows is noticed by the home mark', async t => {
  const stage = createStage();
  const operator = createOperator();
  const control = await stage.control('control-1', operator);
  const node = stage.node('node-1', [control.address]);
  await stage.timers.advanceAsync(100);
  stage.network.decide((_source, _target, message) =>
    pushOf(message)?.sections ? 'drop' : 'deliver',
  );
  operator.accept({put: ['stock-desk']});
  await stage.timers.advanceAsync(10);
  stage.network.decide(() => 'deliver');
  await stage.timers.advanceAsync(2000);
  t.deepEqual(node.subscriber.current(), operator.current());
});

test('crossed pushes end in the newest state, by way of whole ones only', async t => {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook', 'drillvault']});
  const control = await stage.control('control-1', operator);
  const node = stage.node('node-1', [control.address]);
  await stage.timers.advanceAsync(100);
  const accepted = new Map([[1, operator.accepted()]]);
  node.subscriber.onSwitch(state =>
    t.deepEqual(state, accepted.get(state.version)),
  );
  stage.network.decide((_source, _target, message) =>
    pushOf(message) ? 'hold' : 'deliver',
  );
  for (const put of [['crewbook'], ['drillvault'], ['stock-desk']]) {
    operator.accept({put});
    accepted.set(operator.accepted().version, operator.accepted());
  }
  stage.network.decide(() => 'deliver');
  stage.network.release(true);
  await stage.timers.advanceAsync(100);
  t.deepEqual(node.subscriber.current(), operator.current());
});

// Callers would be served by version 1 under the number of version 3. The push
// of version 2 is lost, and version 3 changes nothing that this node wants, so
// its push carries no sections. It names the version that it builds on.
async function loseBase(safeguards: Partial<SubscriberSafeguards>) {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const control = await stage.control('control-1', operator);
  const node = stage.node('node-1', [control.address], {
    services: ['crewbook'],
    safeguards,
  });
  await stage.timers.advanceAsync(100);
  stage.network.decide((_source, _target, message) =>
    pushOf(message)?.version === 2 ? 'drop' : 'deliver',
  );
  operator.accept({put: ['crewbook']});
  operator.accept({put: ['drillvault']});
  await stage.timers.advanceAsync(100);
  const {version, services} = node.subscriber.current()!;
  const wanted = operator.accepted().services.get('crewbook');
  return {
    version,
    isRight: isDeepStrictEqual(services.get('crewbook'), wanted),
  };
}

test('without its base an empty push raises the number of an old state', async t => {
  t.deepEqual(await loseBase({digest: false}), {version: 3, isRight: false});
});

test('an empty push for a base that was lost is refused and mended', async t => {
  t.deepEqual(await loseBase({}), {version: 3, isRight: true});
});

// A request would match a route whose policy the proxy does not have. A source
// at fault hands out a section without the policy of its route, under a right
// digest; the check of references refuses it and the old version serves.
async function receiveDangling(safeguards: Partial<SubscriberSafeguards>) {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['stock-desk']});
  let shown = operator.current();
  let notify = () => {};
  const control = await stage.control('control-1', {
    ...operator,
    current: () => shown,
    onChange: observe => (notify = observe),
  });
  const node = stage.node('node-1', [control.address], {safeguards});
  await stage.timers.advanceAsync(100);
  shown = {...shown, version: 2, policies: new Map()};
  notify();
  await stage.timers.advanceAsync(100);
  return node.subscriber;
}

test('without references checked a route comes without its policy', async t => {
  const subscriber = await receiveDangling({references: false});
  t.is(subscriber.current()!.version, 2);
  t.is(subscriber.current()!.policies.size, 0);
});

test('a state with a route without its policy is refused', async t => {
  const subscriber = await receiveDangling({});
  t.is(subscriber.current()!.version, 1);
  t.true(subscriber.counts().refusals > 0);
});

// Services and routes come, change and go while the services a node wants
// change too, and the network drops, doubles and holds pushes. Whatever comes
// into force must be one accepted version, cut to what the node wants, with no
// route that lacks its service or policy, and never an older one.
async function runChurn(
  seed: number,
  safeguards: Partial<SubscriberSafeguards>,
) {
  const random = createRandom(seed);
  const stage = createStage(seed);
  const operator = createOperator();
  const control = await stage.control('control-1', operator);
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const node = stage.node('node-1', [control.address], {
    services: names.slice(0, 3),
    safeguards,
  });
  const accepted = new Map([[0, operator.accepted()]]);
  const seen = {wrong: 0, dangling: 0, back: 0, switches: 0};
  let last = 0;
  node.subscriber.onSwitch(state => {
    seen.switches++;
    if (state.version < last) seen.back++;
    last = state.version;
    if (!isPartOf(state, accepted.get(state.version)!)) seen.wrong++;
    for (const route of state.routes.values()) {
      if (!state.services.has(route.service)) seen.dangling++;
      if (!state.policies.has(route.policy)) seen.dangling++;
    }
  });
  stage.network.decide((_source, _target, message) => {
    if (pushOf(message) === undefined) return 'deliver';
    return random.pick(['deliver', 'deliver', 'drop', 'double', 'hold']);
  });
  for (let step = 0; step < 60; step++) {
    operator.accept(chooseChange(names, random.integer(100)));
    accepted.set(operator.accepted().version, operator.accepted());
    const first = random.integer(4);
    if (step % 10 === 5) node.subscriber.subscribe(names.slice(first));
    if (step % 7 === 3) stage.network.release(random.integer(2) === 0);
    await stage.timers.advanceAsync(random.integer(300));
  }
  stage.network.decide(() => 'deliver');
  node.subscriber.subscribe('all');
  await stage.timers.advanceAsync(10_000);
  const isCurrent = isDeepStrictEqual(
    node.subscriber.current(),
    operator.accepted(),
  );
  return {...seen, isCurrent};
}

function chooseChange(names: readonly string[], choice: number): Change {
  const name = names[choice % names.length]!;
  if (choice < 20) return {remove: [name]};
  if (choice < 30) return {deadline: choice};
  return {put: [name]};
}

/** Whether a state is an accepted one, cut to the services that it has. */
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

test('under churn each state in force is whole, referred and newer', async t => {
  for (let seed = 1; seed <= 8; seed++) {
    const seen = await runChurn(seed, {});
    t.like(seen, {wrong: 0, dangling: 0, back: 0, isCurrent: true});
    t.true(seen.switches > 10);
  }
});

test('without its checks churn shows mixed states', async t => {
  const unchecked = {digest: false, references: false, monotonic: false};
  let wrong = 0;
  for (let seed = 1; seed <= 8; seed++) {
    const seen = await runChurn(seed, unchecked);
    wrong += seen.wrong + seen.back;
  }
  t.true(wrong > 0);
});

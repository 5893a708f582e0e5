import test from 'ava';
import type {KeeperAssignment} from '../configuration/configuration.js';
import type {KnownInstance} from '../endpoints/messages.js';
import {planAfterAcceptedLoss, planKeepers, quarantineDuration} from './plan.js';
import type {Plan, ServiceView} from './plan.js';

const retention = 60_000;

function instance(
  name: string,
  failureDomain: string,
  life = 1,
  more: Partial<KnownInstance> = {},
): KnownInstance {
  return {
    instance: name,
    service: 'stock-desk',
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    gate: `${name}:1`,
    failureDomain,
    region: 'muscat',
    slots: 20,
    connections: 110,
    since: 0,
    keeper: {address: `${name}:2`, incarnation: life},
    ...more,
  };
}

const seven = [
  instance('s1', 'rusayl-a'),
  instance('s2', 'rusayl-b'),
  instance('s3', 'seeb-c'),
  instance('s4', 'rusayl-a'),
  instance('s5', 'rusayl-b'),
  instance('s6', 'seeb-c'),
  instance('s7', 'rusayl-a'),
];

function view(more: Partial<ServiceView> = {}): ServiceView {
  return {
    service: 'stock-desk',
    current: undefined,
    instances: seven,
    missing: new Set(),
    retention,
    nextEpoch: 10,
    isSettled: true,
    ...more,
  };
}

function expectSet(plan: Plan): KeeperAssignment {
  if (plan.kind !== 'appoint') throw new Error(plan.kind);
  return plan.next;
}

function first(): KeeperAssignment {
  return expectSet(planKeepers(view()));
}

/** The instances after `change` was made to one of them. */
function changed(
  name: string,
  change: Partial<KnownInstance>,
  instances = seven,
): KnownInstance[] {
  return instances.map(one =>
    one.instance === name ? {...one, ...change} : one,
  );
}

function restarted(name: string, instances = seven): KnownInstance[] {
  const keeper = {address: `${name}:2`, incarnation: 2};
  return changed(name, {keeper}, instances);
}

function without(names: readonly string[]): KnownInstance[] {
  return seven.filter(one => !names.includes(one.instance));
}

test('the first set has three keepers in three failure domains', t => {
  const {members, previous, quarantine, epoch} = first();
  t.is(new Set(members.map(({failureDomain}) => failureDomain)).size, 3);
  t.is(previous, undefined);
  t.is(quarantine, undefined);
  t.is(epoch, 10);
});

test('nothing is appointed before the first instances had time', t => {
  t.is(planKeepers(view({isSettled: false})).kind, 'none');
  t.is(planKeepers(view({instances: []})).kind, 'none');
});

test('a set that is whole stays as it is', t => {
  t.is(planKeepers(view({current: first()})).kind, 'none');
});

test('a restarted member comes back as another life of itself or another', t => {
  const current = first();
  const name = current.members[0]!.instance;
  const next = expectSet(
    planKeepers(view({current, instances: restarted(name), nextEpoch: 11})),
  );
  t.deepEqual(next.previous, {epoch: 10, members: current.members});
  t.is(next.members.length, 3);
  const old = next.members.filter(member => current.members.includes(member));
  t.is(old.length, 2);
});

test('a draining member is replaced while it still answers', t => {
  const current = first();
  const name = current.members[1]!.instance;
  const instances = changed(name, {state: 'draining'});
  const next = expectSet(planKeepers(view({current, instances})));
  t.false(next.members.some(member => member.instance === name));
  t.is(next.quarantine, undefined);
});

test('a member out of sight is replaced after its grace, not before', t => {
  const current = first();
  const name = current.members[2]!.instance;
  const instances = without([name]);
  t.is(planKeepers(view({current, instances})).kind, 'none');
  const missing = new Set([`${name}:2`]);
  const next = expectSet(planKeepers(view({current, instances, missing})));
  t.false(next.members.some(member => member.instance === name));
});

test('one member is replaced at a time', t => {
  const current = first();
  const [one, two] = current.members.map(member => member.instance);
  const instances = changed(two!, {state: 'draining'}, restarted(one!));
  const next = expectSet(planKeepers(view({current, instances})));
  const kept = current.members.filter(member => next.members.includes(member));
  t.is(kept.length, 2);
});

test('two lives lost put the next set under quarantine', t => {
  const current = first();
  const [one, two] = current.members.map(member => member.instance);
  const instances = restarted(two!, restarted(one!));
  const next = expectSet(planKeepers(view({current, instances})));
  t.is(next.quarantine, quarantineDuration(retention));
  t.is(next.previous, undefined);
});

// Two keepers that can't be seen may be alive in a partition and go on voting
// for gates on their side. A new set, even after the retention time, could
// then run what they run: only an operator who stopped them may say so.
test('two members out of sight are never replaced without an operator', t => {
  const current = first();
  const names = current.members.slice(0, 2).map(member => member.instance);
  const stuck = view({
    current,
    instances: without(names),
    missing: new Set(names.map(name => `${name}:2`)),
  });
  t.deepEqual(planKeepers(stuck), {kind: 'stuck', missing: names});
  const accepted = planAfterAcceptedLoss(stuck)!;
  t.is(accepted.members.length, 3);
  t.is(accepted.quarantine, undefined);
});

test('a service with few instances has one keeper until there are three', t => {
  const few = seven.slice(0, 2);
  const current = expectSet(planKeepers(view({instances: few})));
  t.is(current.members.length, 1);
  t.is(planKeepers(view({current, instances: few})).kind, 'none');
  const next = expectSet(planKeepers(view({current})));
  t.is(next.members.length, 3);
  t.deepEqual(next.previous, {epoch: 10, members: current.members});
});

test('suspect instances and nodes without a keeper hold no claims', t => {
  const instances = [
    {...seven[0]!, suspect: true},
    {...seven[1]!, keeper: undefined},
    seven[2]!,
  ];
  const {members} = expectSet(planKeepers(view({instances})));
  t.deepEqual(
    members.map(member => member.instance),
    ['s3'],
  );
});

/** Two members' nodes, announced with other keepers than the set names. */
function announceOthers(
  address: (name: string) => string,
  incarnation: number,
): Plan {
  const current = expectSet(planKeepers(view({instances: livesOfFive})));
  let instances: KnownInstance[] = [...livesOfFive];
  for (const {instance: name} of current.members.slice(0, 2)) {
    const keeper = {address: address(name), incarnation};
    instances = changed(name, {keeper}, instances);
  }
  const missing = new Set(current.members.slice(0, 2).map(one => one.address));
  return planKeepers(view({current, instances, missing}));
}

const livesOfFive = seven.map(one => ({
  ...one,
  keeper: {address: `${one.instance}:2`, incarnation: 5},
}));

// A set that is followed under quarantine is not sealed first, so its members
// must be certainly dead. A registry that lags shows former lives, and a VM
// that took the name of one that is cut off shows a later life elsewhere: in
// both cases the members may be voting, and two sets would.
test('only a later life at the same address proves a loss', t => {
  const same = (name: string) => `${name}:2`;
  const other = (name: string) => `${name}:9`;
  t.is(announceOthers(same, 4).kind, 'stuck');
  t.is(announceOthers(other, 6).kind, 'stuck');
  const {quarantine} = expectSet(announceOthers(same, 6));
  t.is(quarantine, quarantineDuration(retention));
});

import test from 'ava';
import type {KeeperAssignment} from '../configuration/configuration.js';
import type {KnownInstance} from '../endpoints/messages.js';
import {
  planAfterAcceptedLoss,
  planKeepers,
  quarantineDuration,
} from './plan.js';
import type {KeeperPlan, ServiceView} from './plan.js';

const retention = 60_000;

function instance(
  name: string,
  failureDomain: string,
  incarnation = 1,
  overrides: Partial<KnownInstance> = {},
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
    keeper: {address: `${name}:2`, incarnation},
    ...overrides,
  };
}

const sevenInstances = [
  instance('s1', 'rusayl-a'),
  instance('s2', 'rusayl-b'),
  instance('s3', 'seeb-c'),
  instance('s4', 'rusayl-a'),
  instance('s5', 'rusayl-b'),
  instance('s6', 'seeb-c'),
  instance('s7', 'rusayl-a'),
];

function view(overrides: Partial<ServiceView> = {}): ServiceView {
  return {
    service: 'stock-desk',
    current: undefined,
    instances: sevenInstances,
    missing: new Set(),
    retention,
    nextEpoch: 10,
    isSettled: true,
    ...overrides,
  };
}

function expectSet(plan: KeeperPlan): KeeperAssignment {
  if (plan.kind !== 'appoint') throw new Error(plan.kind);
  return plan.next;
}

function first(): KeeperAssignment {
  return expectSet(planKeepers(view()));
}

/** The instances with `change` applied to one of them. */
function withChange(
  name: string,
  change: Partial<KnownInstance>,
  instances = sevenInstances,
): KnownInstance[] {
  return instances.map(one =>
    one.instance === name ? {...one, ...change} : one,
  );
}

function withRestart(
  name: string,
  instances = sevenInstances,
): KnownInstance[] {
  const keeper = {address: `${name}:2`, incarnation: 2};
  return withChange(name, {keeper}, instances);
}

function without(names: readonly string[]): KnownInstance[] {
  return sevenInstances.filter(one => !names.includes(one.instance));
}

test('the first set has three keepers in three failure domains', t => {
  const {members, previous, quarantine, epoch} = first();
  t.is(new Set(members.map(({failureDomain}) => failureDomain)).size, 3);
  t.is(previous, undefined);
  t.is(quarantine, undefined);
  t.is(epoch, 10);
});

test('no keepers are assigned before the first instances have had time to appear', t => {
  t.is(planKeepers(view({isSettled: false})).kind, 'none');
  t.is(planKeepers(view({instances: []})).kind, 'none');
});

test('a full set of live members stays unchanged', t => {
  t.is(planKeepers(view({current: first()})).kind, 'none');
});

test('a restarted member is replaced by its new incarnation or another instance', t => {
  const current = first();
  const name = current.members[0]!.instance;
  const next = expectSet(
    planKeepers(view({current, instances: withRestart(name), nextEpoch: 11})),
  );
  t.deepEqual(next.previous, {epoch: 10, members: current.members});
  t.is(next.members.length, 3);
  const old = next.members.filter(member => current.members.includes(member));
  t.is(old.length, 2);
});

test('a draining member is replaced without a quarantine', t => {
  const current = first();
  const name = current.members[1]!.instance;
  const instances = withChange(name, {state: 'draining'});
  const next = expectSet(planKeepers(view({current, instances})));
  t.false(next.members.some(member => member.instance === name));
  t.is(next.quarantine, undefined);
});

test('an absent member is replaced after the timeout but not before', t => {
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
  const instances = withChange(two!, {state: 'draining'}, withRestart(one!));
  const next = expectSet(planKeepers(view({current, instances})));
  const staying = current.members.filter(member =>
    next.members.includes(member),
  );
  t.is(staying.length, 2);
});

test('the next set is quarantined after two members have restarted', t => {
  const current = first();
  const [one, two] = current.members.map(member => member.instance);
  const instances = withRestart(two!, withRestart(one!));
  const next = expectSet(planKeepers(view({current, instances})));
  t.is(next.quarantine, quarantineDuration(retention));
  t.is(next.previous, undefined);
});

// Two unreachable keepers may be alive in a partition and continue to vote for
// gates on their side. A new set, even after the retention time, could then grant
// the same work again. Only an operator who has stopped them may replace them.
test('two unreachable members are never replaced without an operator', t => {
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
  const few = sevenInstances.slice(0, 2);
  const current = expectSet(planKeepers(view({instances: few})));
  t.is(current.members.length, 1);
  t.is(planKeepers(view({current, instances: few})).kind, 'none');
  const next = expectSet(planKeepers(view({current})));
  t.is(next.members.length, 3);
  t.deepEqual(next.previous, {epoch: 10, members: current.members});
});

test('suspect instances and nodes without a keeper are not assigned', t => {
  const instances = [
    {...sevenInstances[0]!, suspect: true},
    {...sevenInstances[1]!, keeper: undefined},
    sevenInstances[2]!,
  ];
  const {members} = expectSet(planKeepers(view({instances})));
  t.deepEqual(
    members.map(member => member.instance),
    ['s3'],
  );
});

/** Plans after two members' nodes announce other keepers than the set has. */
function planWithKeepers(
  address: (name: string) => string,
  incarnation: number,
): KeeperPlan {
  const current = expectSet(planKeepers(view({instances: fifthIncarnations})));
  let instances: KnownInstance[] = [...fifthIncarnations];
  for (const {instance: name} of current.members.slice(0, 2)) {
    const keeper = {address: address(name), incarnation};
    instances = withChange(name, {keeper}, instances);
  }
  const missing = new Set(current.members.slice(0, 2).map(one => one.address));
  return planKeepers(view({current, instances, missing}));
}

const fifthIncarnations = sevenInstances.map(one => ({
  ...one,
  keeper: {address: `${one.instance}:2`, incarnation: 5},
}));

// A set that is replaced under quarantine is not sealed first, so its members must
// certainly be dead. A registry that lags shows earlier incarnations, and a VM
// that uses the name of a partitioned one shows a later incarnation elsewhere. In
// both cases the old members may still vote, and two sets would grant work.
test('only a later incarnation at the same address proves a loss', t => {
  const same = (name: string) => `${name}:2`;
  const other = (name: string) => `${name}:9`;
  t.is(planWithKeepers(same, 4).kind, 'stuck');
  t.is(planWithKeepers(other, 6).kind, 'stuck');
  const {quarantine} = expectSet(planWithKeepers(same, 6));
  t.is(quarantine, quarantineDuration(retention));
});

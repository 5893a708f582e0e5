import test from 'ava';
import type {Quota} from '../configuration/configuration.js';
import {createRandom} from '../random/random.js';
import {createQuotaGroup} from './fakes/quota-group.js';
import type {QuotaGroup, Taken} from './fakes/quota-group.js';
import {worstWindow} from './fakes/window-bound.js';
import type {QuotaChange} from './fakes/window-bound.js';

const bounds = {window: 5_000, overage: 0.1, slack: 20};
const small = {rate: 2.4, burst: 2.4};
const large = {rate: 442, burst: 280};

/** Sends Poisson arrivals of a workspace to nodes for `duration`. */
async function send(
  group: QuotaGroup,
  workspace: string,
  rate: number,
  duration: number,
  nodes: readonly string[],
  seed = 3,
): Promise<Taken[]> {
  const random = createRandom(seed);
  // The first numbers of generators with small seeds are much alike.
  for (let draw = 0; draw < 20; draw++) random.fraction();
  const first = group.taken.length;
  const end = group.timers.now() + duration;
  const next = () => {
    const delay = (-Math.log(1 - random.fraction()) / rate) * 1000;
    group.timers.after(delay, () => {
      if (group.timers.now() >= end) return;
      group.take(random.pick(nodes), workspace);
      next();
    });
  };
  next();
  await group.advance(duration + 500);
  return group.taken
    .slice(first)
    .filter(each => each.workspace === workspace && nodes.includes(each.node));
}

function share(taken: readonly Taken[]): number {
  return taken.filter(each => each.outcome === 'granted').length / taken.length;
}

function createGroup(nodes = 63): QuotaGroup {
  return createQuotaGroup({homes: 6, nodes, bounds});
}

/** A group with its quotas in force. */
async function createReadyGroup(
  quotas: Readonly<Record<string, Quota>>,
  nodes = 63,
): Promise<QuotaGroup> {
  const group = createGroup(nodes);
  await group.advance(1_000);
  group.configure(quotas);
  await group.advance(3_000);
  return group;
}

const namesOf = (group: QuotaGroup) => [...group.nodes.keys()];

/** The nodes of two of the six homes, as in one of three failure domains. */
function inOneDomain(group: QuotaGroup): string[] {
  return namesOf(group).filter(name => Number(name.slice(5)) % 6 < 2);
}

const waitOf = (taken: Taken) => taken.decidedAt - taken.askedAt;

test('a small workspace is admitted on demand, over all nodes', async t => {
  const group = await createReadyGroup({tiny: small});
  const taken = await send(group, 'tiny', 1.5, 60_000, namesOf(group));
  t.true(share(taken) >= 0.98, `${share(taken)}`);
  const most = Math.max(...taken.map(waitOf));
  t.true(most <= 30, `${most}`);
});

test('a large workspace is mostly admitted from credits held ahead', async t => {
  const group = await createReadyGroup({big: large});
  const taken = await send(group, 'big', 280, 20_000, namesOf(group));
  t.true(share(taken) >= 0.98, `${share(taken)}`);
  const atOnce = taken.filter(each => waitOf(each) <= 5);
  t.true(atOnce.length / taken.length > 0.8);
});

for (const [name, quota, rate, duration] of [
  ['tiny', small, 1.5, 150_000],
  ['big', large, 280, 30_000],
] as const) {
  test(`${name}: 0.98 are admitted with 0.95 of it in one domain`, async t => {
    const group = await createReadyGroup({[name]: quota});
    const near = send(
      group,
      name,
      rate * 0.95,
      duration,
      inOneDomain(group),
      4,
    );
    const far = send(group, name, rate * 0.05, duration, namesOf(group), 5);
    const taken = [...(await near), ...(await far)];
    t.true(share(taken) >= 0.98, `${share(taken)}`);
  });

  test(`${name}: 0.9 are admitted with one of ten nodes cut off`, async t => {
    const group = await createReadyGroup({[name]: quota}, 60);
    const names = namesOf(group);
    await send(group, name, rate, 3_000, names, 4);
    const cut = names.slice(0, 6);
    group.partition(cut);
    const taken = await send(group, name, rate, duration, names, 5);
    const others = taken.filter(({node}) => !cut.includes(node));
    t.true(share(others) >= 0.98, `${share(others)}`);
    t.true(share(taken) >= 0.9, `${share(taken)}`);
    t.log(share(taken));
  });
}

test('nine times the usual rate is cut to the limit, mostly without messages', async t => {
  const group = await createReadyGroup({big: large});
  const names = namesOf(group);
  await send(group, 'big', 280, 3_000, names);
  const before = group.messages.get('node>home') ?? 0;
  const taken = await send(group, 'big', 9 * 280, 10_000, names);
  const asks = (group.messages.get('node>home') ?? 0) - before;
  const changes = [{at: 0, quota: large}];
  const {granted, bound} = worstWindow(taken, changes, bounds);
  t.true(granted <= bound, `${granted} of ${bound}`);
  t.true(granted >= 0.9 * large.rate * 5, `${granted}`);
  const refused = taken.filter(({outcome}) => outcome === 'exceeded');
  const atOnce = refused.filter(each => waitOf(each) <= 5);
  t.log(atOnce.length / refused.length);
  t.true(atOnce.length / refused.length > 0.9);
  t.true(asks / taken.length < 0.5, `${asks} for ${taken.length}`);
  t.log(granted, bound, share(taken), asks, taken.length);
  t.log(refused.length, taken.filter(e => e.outcome === 'unknown').length);
});

test('nothing is sent while no quota is configured', async t => {
  const group = createGroup();
  await group.advance(10_000);
  t.is(group.messages.size, 0);
  const taken = group.take('node-1', 'tiny');
  await group.advance(10);
  t.is(taken.outcome, 'granted');
});

test('a change of the leader refuses nothing', async t => {
  const group = await createReadyGroup({big: large, tiny: small});
  const names = namesOf(group);
  for (const home of ['home-2', 'home-3']) {
    group.timers.after(5_000, () => group.elect(home));
  }
  const tiny = send(group, 'tiny', 1.5, 20_000, names, 6);
  const big = await send(group, 'big', 280, 20_000, names);
  t.true(share(big) >= 0.98, `${share(big)}`);
  t.true(share(await tiny) >= 0.98, `${share(await tiny)}`);
});

test('a dead leader costs little until the next one is elected', async t => {
  const group = await createReadyGroup({big: large});
  const names = namesOf(group);
  group.timers.after(5_000, () => {
    group.kill('home-1');
    group.timers.after(1_200, () => group.elect('home-2'));
  });
  const taken = await send(group, 'big', 280, 20_000, names);
  t.true(share(taken) >= 0.95, `${share(taken)}`);
  t.log(share(taken));
});

test('a lowered limit binds within the time of a configuration and a window', async t => {
  const group = await createReadyGroup({big: large});
  const lowered = {rate: 40, burst: 20};
  const names = namesOf(group);
  const changes: QuotaChange[] = [{at: 0, quota: large}];
  group.timers.after(6_000, () => {
    changes.push({at: group.timers.now(), quota: lowered});
    group.configure({big: lowered}, 1_500);
  });
  const taken = await send(group, 'big', 600, 20_000, names);
  const {granted, bound} = worstWindow(taken, changes, bounds);
  t.true(granted <= bound, `${granted} of ${bound}`);
});

test('after a restart of everything, requests are served again', async t => {
  const group = await createReadyGroup({big: large, tiny: small});
  for (const name of group.homes.keys()) group.kill(name);
  for (const name of namesOf(group)) group.kill(name);
  await group.advance(500);
  for (const name of group.homes.keys()) group.startHome(name);
  for (const name of namesOf(group)) group.startNode(name);
  group.elect('home-1');
  await group.advance(5_000);
  const tiny = send(group, 'tiny', 1.5, 10_000, namesOf(group), 4);
  const big = await send(group, 'big', 280, 10_000, namesOf(group), 5);
  t.log(share(big), share(await tiny));
  t.true(share(big) >= 0.9, `${share(big)}`);
});

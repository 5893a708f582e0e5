import test from 'ava';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import type {FakeTimers} from '../time/fakes/fake-timers.js';
import {createDivider} from './divider.js';
import type {Divider} from './divider.js';
import {createHomeShares} from './home-shares.js';
import type {HomeShares} from './home-shares.js';
import {createLeaseClock} from './lease-clock.js';
import type {DemandReport, Shares} from './messages.js';
import {quotaPeriods} from './periods.js';

const bounds = {window: 5_000, overage: 0.1, slack: 20};
const quotas = new Map([['millers', {rate: 100, burst: 60}]]);
const {lease, leadership, renewal} = quotaPeriods;

interface Home {
  readonly name: string;
  readonly shares: HomeShares;
  demand: number;
  report(): DemandReport;
  rate(): number;
}

function createHome(name: string, timers: FakeTimers, life = 'a'): Home {
  const home: Home = {
    name,
    demand: 10,
    shares: createHomeShares({
      life,
      leaseClock: createLeaseClock(timers),
      entries: share => [
        {workspace: 'millers', ...share('millers'), demand: home.demand},
      ],
    }),
    report: () => ({
      kind: 'demand',
      home: name,
      life,
      isRelay: false,
      ...home.shares.report(),
    }),
    rate: () => home.shares.share('millers').rate,
  };
  return home;
}

function createLeader(timers: FakeTimers, term = 1, isNew = true): Divider {
  const clock = timers;
  const divider = createDivider({name: `control-${term}`, term, clock, bounds});
  divider.configure(quotas, isNew);
  return divider;
}

/** Lets homes report for `duration`; each receives its reply at once. */
function run(
  timers: FakeTimers,
  divider: Divider,
  homes: readonly Home[],
  duration: number,
): void {
  for (let time = 0; time < duration; time += renewal) {
    for (const home of homes) home.shares.accept(divider.reply(home.report()));
    timers.advance(renewal);
  }
}

const sumOf = (homes: readonly Home[]) =>
  homes.reduce((sum, home) => sum + home.rate(), 0);

test('shares follow the demand', t => {
  const timers = createFakeTimers();
  const leader = createLeader(timers);
  const homes = ['home-1', 'home-2'].map(name => createHome(name, timers));
  run(timers, leader, homes, 2_000);
  t.true(homes.every(home => Math.abs(home.rate() - 0.5) < 0.06));
  homes[0]!.demand = 90;
  run(timers, leader, homes, 2_000);
  t.true(homes[0]!.rate() > 0.8);
  t.true(sumOf(homes) <= 1);
});

test('a share is raised only after another was lowered and confirmed', t => {
  const timers = createFakeTimers();
  const leader = createLeader(timers);
  const [left, right] = ['home-1', 'home-2'].map(name =>
    createHome(name, timers),
  ) as [Home, Home];
  run(timers, leader, [left, right], 2_000);
  const before = right.rate();
  right.demand = 200;
  right.shares.accept(leader.reply(right.report()));
  // The lowered share is on its way, and the home has not confirmed it.
  const lowering = leader.reply(left.report());
  right.shares.accept(leader.reply(right.report()));
  t.true(right.rate() <= before + 0.06);
  t.true(left.rate() + right.rate() <= 1);
  left.shares.accept(lowering);
  leader.reply(left.report());
  right.shares.accept(leader.reply(right.report()));
  t.true(right.rate() > before + 0.2);
  t.true(left.rate() + right.rate() <= 1);
});

test('a home that is not heard from keeps its share for the lease', t => {
  const timers = createFakeTimers();
  const leader = createLeader(timers);
  const [left, right] = ['home-1', 'home-2'].map(name =>
    createHome(name, timers),
  ) as [Home, Home];
  run(timers, leader, [left, right], 2_000);
  const share = left.rate();
  run(timers, leader, [right], lease - 2 * renewal);
  t.is(left.rate(), share);
  t.true(left.rate() + right.rate() <= 1);
  run(timers, leader, [right], leadership + 4 * renewal);
  t.is(left.rate(), 0);
  t.true(right.rate() > 0.9);
});

test('a new leader renews what homes have, and assigns the rest later', t => {
  const timers = createFakeTimers();
  const first = createLeader(timers);
  const homes = ['home-1', 'home-2'].map(name => createHome(name, timers));
  run(timers, first, homes, 2_000);
  const share = homes[0]!.rate();
  const second = createLeader(timers, 2, false);
  homes[0]!.demand = 100;
  run(timers, second, [homes[0]!], leadership + lease - renewal);
  t.is(homes[0]!.rate(), share);
  run(timers, second, [homes[0]!], 4 * renewal);
  t.true(homes[0]!.rate() > 0.9);
});

test('a home ignores a leader of an earlier term', t => {
  const timers = createFakeTimers();
  const first = createLeader(timers);
  const second = createLeader(timers, 2);
  const home = createHome('home-1', timers);
  run(timers, first, [home], 1_000);
  run(timers, second, [home], 1_000);
  const late = first.reply({...home.report(), isFull: true});
  t.is(home.shares.accept(late), 'ignored');
});

// Guards against a late reply that restores a share which was lowered since.
test('a share takes the place of the one that was reported only', t => {
  const timers = createFakeTimers();
  const leader = createLeader(timers);
  const home = createHome('home-1', timers);
  run(timers, leader, [home], 1_000);
  const report = home.report();
  const reply = (number: number, rate: number): Shares => ({
    ...leader.reply(report),
    entries: [
      {
        workspace: 'millers',
        basis: home.shares.share('millers').number,
        number,
        rate,
        capacity: rate,
      },
    ],
  });
  const late = reply(2_000_000_001, 0.9);
  t.is(home.shares.accept(reply(2_000_000_002, 0.2)), 'changed');
  home.shares.accept(late);
  t.is(home.rate(), 0.2);
});

test('a restarted home has nothing, and its earlier share is counted', t => {
  const timers = createFakeTimers();
  const leader = createLeader(timers);
  const left = createHome('home-1', timers);
  const right = createHome('home-2', timers);
  run(timers, leader, [left, right], 2_000);
  const again = createHome('home-1', timers, 'b');
  t.is(again.rate(), 0);
  run(timers, leader, [again, right], renewal);
  t.true(left.rate() + again.rate() + right.rate() <= 1);
  run(timers, leader, [again, right], lease + leadership + 4 * renewal);
  t.true(again.rate() > 0.4);
  t.true(sumOf([again, right]) <= 1);
});

// Guards against a leader that has been deposed without its knowledge: it takes
// away the share of a home that the next leader has renewed.
test('a deposed leader does not reassign what the next one has renewed', t => {
  const timers = createFakeTimers();
  const first = createLeader(timers);
  const [left, right] = ['home-1', 'home-2'].map(name =>
    createHome(name, timers),
  ) as [Home, Home];
  run(timers, first, [left, right], 2_000);
  run(timers, first, [right], lease - renewal);
  const second = createLeader(timers, 2, false);
  for (let time = 0; time < leadership; time += renewal) {
    run(timers, second, [left], renewal);
    run(timers, first, [right], 0);
    right.shares.accept(first.reply(right.report()));
    t.true(left.rate() + right.rate() <= 1);
  }
});

/**
 * The last confirmation by both clocks, on which it depends whether keys of
 * workspaces may still be used.
 */
import test from 'ava';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {success} from '../result/failure.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import {currentMoment, elapsedSince} from '../time/moment.js';
import type {Moment} from '../time/moment.js';
import {nextTurn} from '../time/turn.js';
import {createDistributor} from './distributor.js';
import {createFreshnessMarks} from './freshness-marks.js';
import {createFreshnessTracker} from './freshness-tracker.js';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {HomeConnection} from './home-connection.js';
import {createSectionSource} from './section-source.js';

/** Marks of a node whose home confirms version 1. */
function createMarks() {
  const clock = createFakeTimers(10_000);
  const marks = createFreshnessMarks({clock, heartbeat: 400, overdueAge: 800});
  marks.acknowledge(1);
  const age = () => {
    const moment = marks.confirmedAt();
    return moment && elapsedSince(moment, clock);
  };
  const answer = (number: number, reported: object = {age: 0}) => {
    const mark = marks.receive({kind: 'pong', number, version: 1, ...reported});
    if (mark !== undefined) marks.confirm(mark);
  };
  return {clock, marks, age, answer};
}

test('the age counts from the sending of the ping, and adds what the home reports', t => {
  const {clock, marks, age, answer} = createMarks();
  t.is(age(), undefined);
  const {number} = marks.ping();
  clock.advance(300);
  answer(number, {age: 200});
  t.is(age(), 500);
  clock.advance(100);
  t.is(age(), 600);
});

test('the time for which the VM was suspended counts', t => {
  const {clock, marks, age, answer} = createMarks();
  answer(marks.ping().number);
  clock.advance(100);
  clock.suspend(10_000);
  t.is(age(), 10_100);
});

test('an answer that was in the socket buffer during a suspension is old', t => {
  const {clock, marks, age, answer} = createMarks();
  const {number} = marks.ping();
  clock.advance(1);
  clock.suspend(10_000);
  clock.advance(1);
  answer(number);
  t.is(age(), 10_002);
  answer(marks.ping().number);
  t.is(age(), 0);
});

test('a time of day that is set back does not make a confirmation younger', t => {
  const {clock, marks, age, answer} = createMarks();
  answer(marks.ping().number);
  clock.setWall(-60_000);
  clock.advance(4_000);
  t.is(age(), 4_000);
});

test('a time of day that is set back between ping and answer does not make it younger', t => {
  const {clock, marks, age, answer} = createMarks();
  const {number} = marks.ping();
  clock.advance(50);
  clock.setWall(-60_000);
  answer(number);
  t.is(age(), 50);
});

test('a time of day that is set forward counts until the next confirmation', t => {
  const {clock, marks, age, answer} = createMarks();
  answer(marks.ping().number);
  clock.setWall(60_000);
  t.is(age(), 60_000);
  answer(marks.ping().number);
  t.is(age(), 0);
});

test('another home that knows less does not make the confirmation older', t => {
  const {clock, marks, age, answer} = createMarks();
  answer(marks.ping().number);
  clock.advance(100);
  answer(marks.ping().number, {age: 5_000});
  t.is(age(), 100);
});

test('a home that was suspended reports the whole age', t => {
  const {marks, age, answer} = createMarks();
  answer(marks.ping().number, {age: 200, fullAge: 10_200});
  t.is(age(), 10_200);
});

test('a home with a newer version confirms nothing until that arrives', t => {
  const {clock, marks, age, answer} = createMarks();
  answer(marks.ping().number);
  clock.advance(400);
  answer(marks.ping().number, {age: 0, version: 2});
  t.is(age(), 400);
  marks.acknowledge(2);
  answer(marks.ping().number, {age: 0, version: 2});
  t.is(age(), 0);
});

test('a home that has published nothing confirms nothing', t => {
  const {clock, marks, age, answer} = createMarks();
  answer(marks.ping().number);
  clock.advance(400);
  answer(marks.ping().number, {age: 0, version: undefined});
  t.is(age(), 400);
});

test('a home that catches up confirms nothing newer until it has published', t => {
  // It was cut off while a key was removed. Now a quorum confirms it, but the
  // removal waits to be sent with other changes.
  const timers = createFakeTimers(10_000);
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  let confirmedAt = currentMoment(timers);
  const distributor = createDistributor({
    source: createSectionSource(operator),
    barrier: async () => success(operator.current().version),
    asOf: () => confirmedAt.steady,
    confirmedAt: () => confirmedAt,
    batchWindow: 50,
    timers,
    random: createRandom(1),
    log: createSilentLog(),
  });
  const cutAt = confirmedAt;
  timers.advance(100_000);
  operator.accept({put: ['crewbook']});
  operator.accept({put: ['crewbook']});
  confirmedAt = currentMoment(timers);
  timers.advance(20);
  t.is(distributor.position().version, 2);
  t.deepEqual(distributor.position().confirmedAt, cutAt);
  timers.advance(30);
  t.is(distributor.position().version, 3);
  t.deepEqual(distributor.position().confirmedAt, confirmedAt);
});

test('a round confirms after the changes that it brought were announced', async t => {
  const timers = createFakeTimers(10_000);
  const seen: Array<Moment | undefined> = [];
  const tracker = createFreshnessTracker(async () => {
    // As `deferNotifications` announces a change that is applied now.
    void nextTurn().then(() => seen.push(tracker.confirmedAt()));
    return success(1);
  }, timers);
  await settle();
  t.deepEqual(seen, [undefined]);
  t.deepEqual(tracker.confirmedAt(), {steady: 10_000, wall: 10_000});
  tracker.stop();
});

const platformPeriods = {
  heartbeat: 400,
  freshness: 1200,
  maxReconnectDelay: 300,
};

/** A node with the periods of the platform, attached to the first of homes. */
async function attach(homeCount: number) {
  const cluster = createTestCluster();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const homes = [];
  for (let number = 1; number <= homeCount; number++) {
    homes.push(await cluster.control(`control-${number}`, operator));
  }
  const addresses = homes.map(({address}) => address);
  const node = cluster.node('node-1', addresses, {}, platformPeriods);
  await cluster.timers.advanceAsync(3000);
  const attached = homes.find(({address}) => address === node.home.address())!;
  return {cluster, operator, homes, node, attached};
}

const ageOf = (
  cluster: ReturnType<typeof createTestCluster>,
  home: Pick<HomeConnection, 'confirmedAt'>,
) => elapsedSince(home.confirmedAt()!, cluster.timers);

test('a node that loses its home is confirmed by another within three seconds', async t => {
  // Three fifths of a revocation of five seconds: requests must be served.
  const {cluster, node, attached} = await attach(3);
  cluster.network.kill(attached.name);
  let oldest = 0;
  for (let step = 0; step < 200; step++) {
    await cluster.timers.advanceAsync(50);
    oldest = Math.max(oldest, ageOf(cluster, node.home));
  }
  t.true(oldest < 3_000, `${oldest} ms`);
  t.true(ageOf(cluster, node.home) < 1_200);
});

test('the confirmation of a node without any home grows old', async t => {
  const {cluster, homes, node} = await attach(2);
  const cutAt = cluster.timers.now();
  for (const {name} of homes) {
    cluster.network.cut('node-1', name);
    cluster.network.cut(name, 'node-1');
  }
  await cluster.timers.advanceAsync(6_000);
  t.true(ageOf(cluster, node.home) >= cluster.timers.now() - cutAt);
});

test('a home whose own confirmation is old confirms nothing newer', async t => {
  const {cluster, homes, node} = await attach(1);
  homes[0]!.quorum = false;
  const cutAt = cluster.timers.now();
  await cluster.timers.advanceAsync(6_000);
  t.is(node.home.state(), 'attached');
  t.true(ageOf(cluster, node.home) >= cluster.timers.now() - cutAt);
});

for (const relayed of [false, true]) {
  test(`a home that was suspended confirms nothing newer, behind a relay: ${relayed}`, async t => {
    // The steady clock of the home stands, so the age by it stays small; the
    // node asks after the suspension and learns of it from the home only.
    const cluster = createTestCluster();
    const operator = createOperator();
    operator.accept({put: ['crewbook']});
    const control = await cluster.control('control-1', operator);
    const home = relayed
      ? await cluster.relay('relay-1', [control.address])
      : control;
    const node = cluster.node('node-1', [home.address], {}, platformPeriods);
    await cluster.timers.advanceAsync(3000);
    control.quorum = false;
    cluster.timers.suspend(10_000);
    await cluster.timers.advanceAsync(1_000);
    t.true(node.home.mark()!.askedAt > 3_000);
    t.true(ageOf(cluster, node.home) >= 10_000);
    control.quorum = true;
    await cluster.timers.advanceAsync(2_000);
    t.true(ageOf(cluster, node.home) < 1_200);
  });
}

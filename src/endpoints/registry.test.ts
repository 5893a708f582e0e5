import test from 'ava';
import {createFakeMesh, upstream} from './fakes/mesh.js';
import type {FakeMesh} from './fakes/mesh.js';

const second = 1000;

test('announced, draining and withdrawn reach the nodes of every home', async t => {
  const mesh = createFakeMesh();
  await mesh.home('home-a');
  await mesh.home('home-b');
  const node = await mesh.join('home-a', 'crewbook-1', upstream());
  const caller = await mesh.join('home-b', 'caller');
  await mesh.advance(200);
  t.deepEqual(caller.view(), ['crewbook-1:serving']);

  node.announcer.announce(upstream({state: 'draining'}));
  await mesh.advance(200);
  t.deepEqual(caller.view(), ['crewbook-1:draining']);

  node.announcer.withdraw();
  await mesh.advance(200);
  t.deepEqual(caller.view(), []);
});

test('a node hears only of the services that it calls', async t => {
  const mesh = createFakeMesh();
  await mesh.home('home-a');
  await mesh.join('home-a', 'crewbook-1', upstream());
  await mesh.join('home-a', 'drillvault-1', upstream({service: 'drillvault'}));
  const caller = await mesh.join('home-a', 'caller', undefined, {
    services: ['drillvault'],
  });
  await mesh.advance(second);
  t.deepEqual(caller.view('drillvault'), ['drillvault-1:serving']);
  t.is(caller.table.size(), 1);

  caller.membership.subscribe(['crewbook']);
  await mesh.advance(second);
  t.deepEqual(caller.view('crewbook'), ['crewbook-1:serving']);
  t.deepEqual(caller.view('drillvault'), []);
});

/** Plays one life of an instance whose messages cross, double and lag. */
async function crossedLife(mesh: FakeMesh): Promise<string[]> {
  await mesh.home('home-a');
  await mesh.home('home-b');
  const caller = await mesh.join('home-b', 'caller');
  await mesh.advance(2 * second);
  mesh.network.decide((source, target, message) => {
    const text = JSON.stringify(message);
    if (source !== 'home-a' || target !== 'home-b') return 'deliver';
    return text.includes('"kind":"records"') ? 'hold' : 'deliver';
  });
  const node = await mesh.join('home-a', 'crewbook-1', upstream());
  node.announcer.announce(upstream({state: 'draining'}));
  node.announcer.withdraw();
  await mesh.advance(100);
  mesh.network.decide(() => 'double');
  mesh.network.release(true);
  await mesh.advance(100);
  return caller.view();
}

test('crossed announcements do not bring a gone instance back', async t => {
  // An upstream leaves; its last three announcements reach the second home
  // in reverse order and twice. Without the order (incarnation, sequence) the
  // last to come wins: callers are sent to an instance that has left. With it
  // the oldest ones are dropped wherever they come late.
  const unordered = createFakeMesh(0, {
    safeguards: {order: false, comparison: false},
  });
  t.deepEqual(await crossedLife(unordered), ['crewbook-1:serving']);
  t.deepEqual(await crossedLife(createFakeMesh()), []);
});

/** An instance leaves while a home that knows it is cut off for minutes. */
async function lateCopy(tombstoneRetention: number) {
  const mesh = createFakeMesh(0, {tombstoneRetention});
  await mesh.home('home-a');
  await mesh.home('home-b', {region: 'muscat'});
  const node = await mesh.join('home-a', 'crewbook-1', upstream());
  await mesh.advance(2 * second);
  mesh.network.cut('home-a', 'home-b');
  mesh.network.cut('home-b', 'home-a');
  node.announcer.withdraw();
  await mesh.advance(second);
  node.kill();
  await mesh.advance(300 * second);
  mesh.network.heal();
  await mesh.advance(10 * second);
  const caller = await mesh.join('home-a', 'caller');
  return {mesh, caller};
}

test('a home that was cut off does not bring back what left meanwhile', async t => {
  // The second home still has the instance as serving when the cut ends.
  // If the first has already forgotten that it left, it takes the old copy
  // for news and callers are sent to it. A tombstone that outlives every cut
  // wins by its higher sequence.
  const forgetful = await lateCopy(60 * second);
  t.deepEqual(forgetful.caller.view(), ['crewbook-1:serving']);
  const mindful = await lateCopy(24 * 3600 * second);
  t.deepEqual(mindful.caller.view(), []);

  // Even the forgetful home finds that it holds no lease, an orphan's time on.
  await forgetful.mesh.advance(35 * second);
  t.deepEqual(forgetful.caller.view(), []);
});

/** Drains an instance while each kind of message is lost once. */
async function lossyDrain(mesh: FakeMesh): Promise<string[]> {
  await mesh.home('home-a');
  await mesh.home('home-b');
  const node = await mesh.join('home-a', 'crewbook-1', upstream(), {
    services: [],
  });
  const caller = await mesh.join('home-b', 'caller');
  await mesh.advance(20 * second);
  const lost = new Set<string>();
  mesh.network.decide((source, target, message) => {
    const {body} = message as {body: {kind: string}};
    const way = `${source}>${target} ${body.kind}`;
    const carries = ['announce', 'records', 'delta'].includes(body.kind);
    if (!carries || lost.has(way)) return 'deliver';
    lost.add(way);
    return 'drop';
  });
  node.announcer.announce(upstream({state: 'draining'}));
  await mesh.advance(6 * second);
  return [...caller.view(), `${lost.size} lost`];
}

test('a drain is known within seconds though every message of it is lost', async t => {
  // The announcement, the record between homes and the delta to the caller's
  // node are each lost once. Without the comparison of digests between homes
  // the caller's node never hears of the drain and goes on sending work. With
  // it each hop notices at its next renewal or comparison.
  const blind = createFakeMesh(0, {safeguards: {comparison: false}});
  t.deepEqual(await lossyDrain(blind), ['crewbook-1:serving', '2 lost']);
  t.deepEqual(await lossyDrain(createFakeMesh()), [
    'crewbook-1:draining',
    '3 lost',
  ]);
});

test('a restart on the same address is a new incarnation', async t => {
  const mesh = createFakeMesh();
  await mesh.home('home-a');
  const caller = await mesh.join('home-a', 'caller');
  const before = await mesh.join('home-a', 'crewbook-1', upstream());
  await mesh.advance(second);
  before.kill();
  const after = await mesh.join('home-a', 'crewbook-1', upstream());
  await mesh.advance(second);
  const [known] = caller.table.instances('crewbook');
  t.is(known!.incarnation, after.announcer.current()!.incarnation);
  t.true(known!.incarnation > before.announcer.current()!.incarnation);
});

test('an instance whose wall clock went back still rises', async t => {
  // The VM restarts with a clock an hour behind: its incarnation is lower than
  // the one the homes know. Were it believed as it stands, all it says would
  // be dropped as old, and once its lease ran out callers would lose it. The
  // home tells what it knows and the node starts above that.
  const mesh = createFakeMesh(7_200_000);
  await mesh.home('home-a');
  const caller = await mesh.join('home-a', 'caller');
  const before = await mesh.join('home-a', 'crewbook-1', upstream());
  await mesh.advance(second);
  const options = {clockOffset: -3_600_000};
  const stuck = mesh.node('crewbook-1', options);
  before.kill();
  const announced = stuck.announcer.announce(upstream());
  const first = before.announcer.current()!.incarnation;
  t.true(announced.ok && announced.value.incarnation < first);

  const risen = await mesh.join('home-a', 'crewbook-1', upstream(), options);
  await mesh.advance(60 * second);
  t.is(risen.announcer.current()!.incarnation, first + 1);
  t.deepEqual(caller.view(), ['crewbook-1:serving']);
});

import test from 'ava';
import {createFakeMesh, upstream} from './fakes/mesh.js';
import type {FakeMesh} from './fakes/mesh.js';

const second = 1000;

test('announcements, drains and withdrawals reach the nodes of every home', async t => {
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

test('a node receives only the services that it subscribes to', async t => {
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

/** Runs an instance whose messages are reordered, duplicated and delayed. */
async function runWithReordering(mesh: FakeMesh): Promise<string[]> {
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

test('reordered announcements do not restore an instance that is gone', async t => {
  // An upstream leaves, and its last three announcements reach the second home
  // twice and in reverse order. Without the order (incarnation, sequence) the
  // last arrival wins, and callers are sent to an instance that has left. With it
  // late older announcements are dropped.
  const unordered = createFakeMesh(0, {
    safeguards: {order: false, comparison: false},
  });
  t.deepEqual(await runWithReordering(unordered), ['crewbook-1:serving']);
  t.deepEqual(await runWithReordering(createFakeMesh()), []);
});

/** An instance leaves while a home that has its record is cut off for minutes. */
async function reconnectAfterLeave(tombstoneRetention: number) {
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

test('a home that was cut off does not restore an instance that left meanwhile', async t => {
  // The second home still lists the instance as serving when the partition ends.
  // If the first home has already removed the tombstone, it accepts the old
  // record as new and callers are sent to it. A tombstone that is kept longer
  // than any partition wins by its higher sequence.
  const shortRetention = await reconnectAfterLeave(60 * second);
  t.deepEqual(shortRetention.caller.view(), ['crewbook-1:serving']);
  const longRetention = await reconnectAfterLeave(24 * 3600 * second);
  t.deepEqual(longRetention.caller.view(), []);

  // With short retention, the instance is only removed when its orphan lease ends.
  await shortRetention.mesh.advance(35 * second);
  t.deepEqual(shortRetention.caller.view(), []);
});

/** Drains an instance while each kind of message is lost once. */
async function drainWithLosses(mesh: FakeMesh): Promise<string[]> {
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
    const messageKind = `${source}>${target} ${body.kind}`;
    const carries = ['announce', 'records', 'delta'].includes(body.kind);
    if (!carries || lost.has(messageKind)) return 'deliver';
    lost.add(messageKind);
    return 'drop';
  });
  node.announcer.announce(upstream({state: 'draining'}));
  await mesh.advance(6 * second);
  return [...caller.view(), `${lost.size} lost`];
}

test('a drain reaches all nodes within seconds although each of its messages is lost once', async t => {
  // The announcement, the record between homes and the delta to the caller's
  // node are each lost once. Without the comparison of digests between homes the
  // caller's node never receives the drain and continues to send work. With it
  // each hop detects the loss at its next renewal or comparison.
  const withoutComparison = createFakeMesh(0, {
    safeguards: {comparison: false},
  });
  t.deepEqual(await drainWithLosses(withoutComparison), [
    'crewbook-1:serving',
    '2 lost',
  ]);
  t.deepEqual(await drainWithLosses(createFakeMesh()), [
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

test('an instance whose wall clock was set back gets a higher incarnation', async t => {
  // The VM restarts with a clock that is an hour behind, so its incarnation is
  // lower than the one in the homes' tables. Its announcements would all be
  // dropped as old, and callers would lose it when its lease expires. The home
  // sends its newer announcement, and the node continues above that.
  const mesh = createFakeMesh(7_200_000);
  await mesh.home('home-a');
  const caller = await mesh.join('home-a', 'caller');
  const before = await mesh.join('home-a', 'crewbook-1', upstream());
  await mesh.advance(second);
  const options = {clockOffset: -3_600_000};
  const outdated = mesh.node('crewbook-1', options);
  before.kill();
  const announced = outdated.announcer.announce(upstream());
  const first = before.announcer.current()!.incarnation;
  t.true(announced.ok && announced.value.incarnation < first);

  const restarted = await mesh.join(
    'home-a',
    'crewbook-1',
    upstream(),
    options,
  );
  await mesh.advance(60 * second);
  t.is(restarted.announcer.current()!.incarnation, first + 1);
  t.deepEqual(caller.view(), ['crewbook-1:serving']);
});

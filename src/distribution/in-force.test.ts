import test from 'ava';
import {createOperator, createTestCluster} from './fakes/test-cluster.js';
import type {TestHome} from './fakes/test-cluster.js';

/**
 * Maximum milliseconds from the acceptance of a change until it is in force.
 */
const maxDelay = 2000;

/** The same on slow links, which is the design limit for the whole fleet. */
const maxDelayOnSlowLinks = 5000;

/**
 * Milliseconds for which the control processes must have worked before
 * `maxDelay` holds again.
 */
const settlingTime = 3000;

/** Periods of a node with which `maxDelay` holds. */
const periods = {heartbeat: 400, freshness: 1200, maxReconnectDelay: 300};

/** Milliseconds between the moments at which a fault is injected. */
const faultStep = 40;
const names = ['control-1', 'control-2', 'control-3'];
const offsets = Array.from({length: 30}, (_, index) => index * faultStep);

/** Starts a node, its homes in its order of preference, and their operator. */
async function attachNode(offset: number) {
  const cluster = createTestCluster(1 + offset);
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const homes: TestHome[] = [];
  const isolated = new Set<number>();
  for (const [index, name] of names.entries()) {
    let shown = operator.current();
    const current = () => {
      if (!isolated.has(index)) shown = operator.current();
      return shown;
    };
    homes.push(await cluster.control(name, {...operator, current}));
  }
  const addresses = ['a', 'b', 'c'].map((failureDomain, index) => ({
    address: homes[index]!.address,
    failureDomain,
    ...(index === 1 && {region: 'r'}),
  }));
  const node = cluster.node('node-1', addresses, {}, periods);
  await cluster.timers.advanceAsync(3000 + offset);
  if (node.home.address() !== homes[0]!.address) throw new Error('not nearest');
  const suspended = new Set<string>();
  const undelivered = new Set<string>();
  let lastReceiver = '';
  cluster.network.decide((from, to, message) => {
    if (from === 'node-1') lastReceiver = to;
    if (suspended.has(from)) return 'hold';
    const isPush = (message as {body?: {kind?: string}}).body?.kind === 'push';
    return isPush && undelivered.has(from) ? 'drop' : 'deliver';
  });

  return {
    cluster,
    node,
    homes,
    /**
     * Drops all messages between the node and this process, without closing
     * links.
     */
    cut(name: string): void {
      cluster.network.cut('node-1', name);
      cluster.network.cut(name, 'node-1');
    },
    /** Cuts a home off from the quorum and from all changes. */
    isolate(index: number): void {
      isolated.add(index);
      homes[index]!.quorum = false;
    },
    rejoin(index: number): void {
      isolated.delete(index);
      homes[index]!.quorum = true;
    },
    /**
     * Suspends a process: its connections are accepted and it sends nothing.
     */
    suspend: (name: string) => void suspended.add(name),
    /** Drops what a home pushes, not its answers to pings. */
    dropPushes: (name: string) => void undelivered.add(name),
    deliverPushes: () => undelivered.clear(),
    /** Resolves when the node sends its next message to a process. */
    async untilSent(name: string): Promise<void> {
      lastReceiver = '';
      while (lastReceiver !== name) await cluster.timers.advanceAsync(10);
    },
    /** Kills a home; its address refuses connections until it is restarted. */
    kill: (index: number) => cluster.network.kill(names[index]!),
    /**
     * Accepts a change; resolves with the milliseconds until it is in force.
     */
    async accept(): Promise<number> {
      operator.accept({put: ['crewbook']});
      const acceptedAt = cluster.timers.now();
      const {version} = operator.current();
      while (node.subscriber.current()!.version < version) {
        await cluster.timers.advanceAsync(10);
        if (cluster.timers.now() - acceptedAt > 20_000) break;
      }
      return cluster.timers.now() - acceptedAt;
    },
  };
}

type Attached = Awaited<ReturnType<typeof attachNode>>;

/**
 * Returns the longest time until a change is in force, over all moments of the
 * fault.
 */
async function findLongestDelay(
  fault: (attached: Attached) => Promise<void> | void,
) {
  let longestDelay = 0;
  for (const offset of offsets) {
    const attached = await attachNode(offset);
    await fault(attached);
    longestDelay = Math.max(longestDelay, await attached.accept());
  }
  return longestDelay;
}

const faults: Array<[string, (attached: Attached) => Promise<void> | void]> = [
  ['its home cut off from it', ({cut}) => cut('control-1')],
  ['its home suspended', ({suspend}) => suspend('control-1')],
  ['its home cut off from the quorum', ({isolate}) => isolate(0)],
  // Guards against a change that is 3 s late or more, during which callers are
  // routed by the old version: the node detects that its home is silent, then
  // waits for a connection attempt without an answer, then for a backoff delay,
  // and only then tries the home that works.
  [
    'two of three homes cut off from it',
    ({cut}) => {
      cut('control-1');
      cut('control-2');
    },
  ],
  // The same with suspended processes: the operating system accepts the
  // connection, so the node counts as attached and waits for silence again.
  [
    'two of three homes suspended',
    ({suspend}) => {
      suspend('control-1');
      suspend('control-2');
    },
  ],
  [
    'its home without a quorum and the next one suspended',
    ({isolate, suspend}) => {
      isolate(0);
      suspend('control-2');
    },
  ],
  // Guards against a node that leaves a working home for a suspended one. The
  // leader, which is another home, is suspended, and no home has a fresh mark
  // until there is a new leader. The node would then have no home when the next
  // change is accepted.
  [
    'its home working while a new leader is elected',
    async ({isolate, rejoin, cluster, suspend}) => {
      suspend('control-2');
      for (const index of names.keys()) isolate(index);
      await cluster.timers.advanceAsync(1300);
      rejoin(0);
      rejoin(2);
    },
  ],
  // Guards against a node that keeps an old version because its home is cut off
  // from the quorum and the homes that work are not probed, since they were lost
  // a few seconds ago. All nodes attach to the home that is cut off while the two
  // others restart, as it is the only one that answers.
  [
    'two of three homes restarted and the third cut off from the quorum',
    async ({isolate, kill, cluster, homes}) => {
      isolate(2);
      await cluster.timers.advanceAsync(3000);
      kill(0);
      kill(1);
      await cluster.timers.advanceAsync(1500);
      await homes[0]!.restart();
      await homes[1]!.restart();
      await cluster.timers.advanceAsync(settlingTime);
    },
  ],
  // The same after a time without a quorum, in which searches without a result
  // have become rare.
  [
    'its home still without a quorum that the two others have again',
    async ({isolate, rejoin, cluster}) => {
      for (const index of names.keys()) isolate(index);
      await cluster.timers.advanceAsync(30_000);
      rejoin(1);
      rejoin(2);
      await cluster.timers.advanceAsync(settlingTime);
    },
  ],
  // The same where a home that can't be reached prolongs each search.
  [
    'its home without a quorum and an unreachable home beside the one that has it',
    async ({isolate, rejoin, cut, cluster}) => {
      for (const index of names.keys()) isolate(index);
      cut('control-2');
      await cluster.timers.advanceAsync(30_000);
      rejoin(2);
      await cluster.timers.advanceAsync(settlingTime);
    },
  ],
  // The same with a change as old as it may be when control has just settled.
  [
    'an unreachable home beside the one that got a quorum a second ago',
    async ({isolate, rejoin, cut, cluster}) => {
      for (const index of names.keys()) isolate(index);
      cut('control-2');
      await cluster.timers.advanceAsync(30_000);
      rejoin(2);
      await cluster.timers.advanceAsync(settlingTime - maxDelay);
    },
  ],
  // Guards against a node whose search for a nearer home, which does not answer,
  // delays the search for a home that has a quorum.
  [
    'its home cut off from the quorum while a nearer one does not answer a probe',
    async ({suspend, isolate, cluster, untilSent}) => {
      suspend('control-1');
      await cluster.timers.advanceAsync(settlingTime);
      await untilSent('control-1');
      isolate(1);
    },
  ],
  // Guards against a node that stays with a home without a quorum, since it left
  // the others a few seconds ago because their pushes had not arrived.
  [
    'its home cut off from the quorum and the others left as their pushes did not arrive',
    async ({dropPushes, deliverPushes, isolate, accept, cluster}) => {
      dropPushes('control-1');
      dropPushes('control-2');
      await accept();
      deliverPushes();
      isolate(2);
      await cluster.timers.advanceAsync(settlingTime - maxDelay);
    },
  ],
];

for (const [title, fault] of faults) {
  test(`a change is in force in time with ${title}`, async t => {
    const longestDelay = await findLongestDelay(fault);
    t.true(longestDelay <= maxDelay, `${longestDelay} ms`);
  });
}

// Guards against a node that has no link because it left its home although no
// other was better, when all homes have old marks for a while, for example
// without a leader.
test('a node keeps its home while no other has a fresher mark', async t => {
  const {homes, node, cluster} = await attachNode(0);
  let links = 0;
  node.home.onChannels(() => links++);
  for (const home of homes) home.quorum = false;
  await cluster.timers.advanceAsync(5000);
  t.is(links, 1, 'the first link');
});

// Guards against a node that presumes its home silent or cut off because large
// bodies fill the link of its own VM, so that all its messages are late. It
// would change from home to home over the same link and request its state from
// each.
for (const extra of [200, 350, 500, 700]) {
  test(`a node whose own link takes ${extra} ms more each way keeps its home`, async t => {
    const {accept, node, cluster} = await attachNode(0);
    let links = 0;
    node.home.onChannels(() => links++);
    cluster.network.slow('node-1', extra);
    let longestDelay = 0;
    for (let change = 0; change < 20; change++) {
      longestDelay = Math.max(longestDelay, await accept());
      await cluster.timers.advanceAsync(500);
    }
    t.is(links, 1, 'the first link');
    t.true(longestDelay <= maxDelay, `${longestDelay} ms`);
  });
}

// Guards against a node that rejects all other homes on such a link after its
// home failed: they answer late, and the freshness that they report is old on
// arrival.
for (const extra of [350, 700]) {
  test(`a node whose own link takes ${extra} ms more each way finds another home`, async t => {
    const {accept, cut, cluster} = await attachNode(0);
    cluster.network.slow('node-1', extra);
    await cluster.timers.advanceAsync(3000);
    cut('control-1');
    const elapsed = await accept();
    t.true(elapsed <= maxDelayOnSlowLinks, `${elapsed} ms`);
  });
}

import test from 'ava';
import {createOperator, createStage} from './fakes/stage.js';
import type {StagedHome} from './fakes/stage.js';

/** Milliseconds from acceptance within which a change is promised to be in force. */
const promised = 2000;

/** The same where links are slow; what the whole fleet is designed for. */
const promisedAtSize = 5000;

/** A node's periods where that is promised. */
const periods = {heartbeat: 400, freshness: 1200, longestReconnect: 300};

/** Milliseconds between the moments at which a fault is tried. */
const step = 40;
const names = ['control-1', 'control-2', 'control-3'];
const offsets = Array.from({length: 30}, (_, index) => index * step);

/** A node, its homes in the order in which it prefers them, and their operator. */
async function attachNode(offset: number) {
  const stage = createStage();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const homes: StagedHome[] = [];
  const isolated = new Set<number>();
  for (const [index, name] of names.entries()) {
    let shown = operator.current();
    const current = () => {
      if (!isolated.has(index)) shown = operator.current();
      return shown;
    };
    homes.push(await stage.control(name, {...operator, current}));
  }
  const places = ['a', 'b', 'c'].map((failureDomain, index) => ({
    address: homes[index]!.address,
    failureDomain,
    ...(index === 1 && {region: 'r'}),
  }));
  const node = stage.node('node-1', places, {}, periods);
  await stage.timers.advanceAsync(3000 + offset);
  if (node.home.address() !== homes[0]!.address) throw new Error('not nearest');
  const still = new Set<string>();
  stage.network.decide(source => (still.has(source) ? 'hold' : 'deliver'));

  return {
    stage,
    node,
    homes,
    /** Nothing passes between the node and this process, and no end is told. */
    cut(name: string): void {
      stage.network.cut('node-1', name);
      stage.network.cut(name, 'node-1');
    },
    /** No quorum answers the home, and it learns of no change. */
    isolate(index: number): void {
      isolated.add(index);
      homes[index]!.quorum = false;
    },
    rejoin(index: number): void {
      isolated.delete(index);
      homes[index]!.quorum = true;
    },
    /** The process takes connections and says nothing. */
    standStill: (name: string) => void still.add(name),
    /** Milliseconds until a change that is accepted now is in force. */
    async accept(): Promise<number> {
      operator.accept({put: ['crewbook']});
      const acceptedAt = stage.timers.now();
      const {version} = operator.current();
      while (node.subscriber.current()!.version < version) {
        await stage.timers.advanceAsync(10);
        if (stage.timers.now() - acceptedAt > 20_000) break;
      }
      return stage.timers.now() - acceptedAt;
    },
  };
}

type Attached = Awaited<ReturnType<typeof attachNode>>;

/** The longest time to a change in force, over the moments of the fault. */
async function longest(fault: (attached: Attached) => Promise<void> | void) {
  let most = 0;
  for (const offset of offsets) {
    const attached = await attachNode(offset);
    await fault(attached);
    most = Math.max(most, await attached.accept());
  }
  return most;
}

const faults: Array<[string, (attached: Attached) => Promise<void> | void]> = [
  ['its home cut off from it', ({cut}) => cut('control-1')],
  ['its home standing still', ({standStill}) => standStill('control-1')],
  ['its home cut off from the quorum', ({isolate}) => isolate(0)],
  // Callers are sent where operators no longer want them, for 3 s and more.
  // The node notices that its home is silent, then waits for a connection that
  // a cut swallows, then for a delay, and only then asks the home that works.
  [
    'two of three homes cut off from it',
    ({cut}) => {
      cut('control-1');
      cut('control-2');
    },
  ],
  // The same with processes that stand still: the operating system takes the
  // connection, so the node counts itself attached and waits for silence anew.
  [
    'two of three homes standing still',
    ({standStill}) => {
      standStill('control-1');
      standStill('control-2');
    },
  ],
  [
    'its home without a quorum and the next one standing still',
    ({isolate, standStill}) => {
      isolate(0);
      standStill('control-2');
    },
  ],
  // The leading process stands still, which is nobody's home here. Until another
  // leads no home has a fresh mark. The node leaves a home that works for the
  // one that stands still, and is without any when the next change is accepted.
  [
    'its home working all the while that another one leads',
    async ({isolate, rejoin, stage, standStill}) => {
      standStill('control-2');
      for (const index of names.keys()) isolate(index);
      await stage.timers.advanceAsync(1300);
      rejoin(0);
      rejoin(2);
    },
  ],
];

for (const [title, fault] of faults) {
  test(`a change is in force in time with ${title}`, async t => {
    const most = await longest(fault);
    t.true(most <= promised, `${most} ms`);
  });
}

// All homes have old marks for a while, as when no process leads. A node that
// leaves its home then finds none that is better, and has no link meanwhile.
test('a node keeps its home while no other has a fresher mark', async t => {
  const {homes, node, stage} = await attachNode(0);
  let links = 0;
  node.home.onChannels(() => links++);
  for (const home of homes) home.quorum = false;
  await stage.timers.advanceAsync(5000);
  t.is(links, 1, 'the link that it had');
});

// Large bodies fill the link of one VM, so that all that its node sends and
// gets waits behind them. The node takes its home for one that is silent or
// cut off, goes to another and another, over the same link, and asks each for
// its state. What comes over the link that it has is late, but the first.
for (const extra of [200, 350, 500, 700]) {
  test(`a node whose own link takes ${extra} ms more each way keeps its home`, async t => {
    const {accept, node, stage} = await attachNode(0);
    let links = 0;
    node.home.onChannels(() => links++);
    stage.network.slow('node-1', extra);
    let most = 0;
    for (let change = 0; change < 20; change++) {
      most = Math.max(most, await accept());
      await stage.timers.advanceAsync(500);
    }
    t.is(links, 1, 'the link that it had');
    t.true(most <= promised, `${most} ms`);
  });
}

// The same link, and the home is gone as well. The others answer late, and what
// they say of themselves is old by the time that it comes.
for (const extra of [350, 700]) {
  test(`a node whose own link takes ${extra} ms more each way finds another home`, async t => {
    const {accept, cut, stage} = await attachNode(0);
    stage.network.slow('node-1', extra);
    await stage.timers.advanceAsync(3000);
    cut('control-1');
    const elapsed = await accept();
    t.true(elapsed <= promisedAtSize, `${elapsed} ms`);
  });
}

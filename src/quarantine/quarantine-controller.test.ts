import test from 'ava';
import {
  createSampleMachine,
  putService,
} from '../configuration/fakes/sample.js';
import type {Quarantine} from '../configuration/configuration.js';
import type {Edit} from '../configuration/messages.js';
import {createFakeGroup} from '../consensus/fakes/fake-consensus.js';
import type {Announcement} from '../endpoints/messages.js';
import {createChannels} from '../link/channel.js';
import type {Channels} from '../link/channel.js';
import {createFakeNetwork} from '../link/fakes/fake-network.js';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import {createFakeTimers, settle} from '../time/fakes/fake-timers.js';
import type {Timers} from '../time/timers.js';
import {createEvidenceExchange} from './evidence-exchange.js';
import {createEvidenceReporter} from './evidence-reporter.js';
import type {QuarantineSafeguards} from './plan.js';
import {createQuarantineController} from './quarantine-controller.js';

const service = 'crewbook';
const controls = ['control-1', 'control-2', 'control-3'];
const name = 'a'.repeat(32);
const other = 'c'.repeat(32);
/** Milliseconds within which a held state must be in force. */
const decisionTime = 3_000;

function suspectOf(digest: string) {
  return {name: digest, head: 'b'.repeat(32), service, request: 'GET /7'};
}

/** Starts three control processes with one node each, linked as in production. */
async function start(limit = 256, safeguards?: QuarantineSafeguards) {
  const timers = createFakeTimers(100_000);
  let wallOffset = 0;
  const clock = Object.create(timers, {
    wall: {value: () => timers.wall() + wallOffset},
  }) as Timers;
  const network = createFakeNetwork(timers);
  const recorded = createRecordedLog();
  const group = createFakeGroup(controls, () => createSampleMachine());
  const instances: Announcement[] = [];
  const homes = new Map<string, ReturnType<typeof startHome>>();

  function startHome(control: string) {
    const exchange = createEvidenceExchange({timers, log: recorded.log});
    const controller = createQuarantineController({
      name: control,
      consensus: group.member(control),
      machine: group.machine(control),
      endpoints: {instances: () => instances},
      timers: clock,
      log: recorded.log,
      limit,
      ...(safeguards !== undefined && {safeguards}),
    });
    exchange.onEvidence(controller.addEvidence);
    return exchange;
  }

  async function link(from: string, to: string): Promise<Channels> {
    const connecting = network.from(from).connect(`${to}:1`);
    await timers.advanceAsync(10);
    return createChannels(await connecting);
  }

  for (const control of controls) {
    const home = startHome(control);
    homes.set(control, home);
    await network.from(control).listen(`${control}:1`, accepted => {
      const channels = createChannels(accepted);
      // Production distinguishes nodes from other homes by the hello message.
      if (/^(control|relay)/.test(accepted.peer)) home.peer(channels);
      else home.accept(channels);
    });
  }
  for (const [index, control] of controls.entries()) {
    for (const otherControl of controls.slice(index + 1)) {
      homes.get(control)!.peer(await link(control, otherControl));
    }
  }

  async function startNode(node: string, home: string) {
    const reporter = createEvidenceReporter({name: node, timers});
    const attach = async (to: string) => reporter.attach(await link(node, to));
    await attach(home);
    return {...reporter, attach};
  }

  async function startBehindRelay(node: string, home: string) {
    const relay = createEvidenceExchange({timers, log: recorded.log});
    await network.from('relay').listen('relay:1', accepted => {
      relay.accept(createChannels(accepted));
    });
    relay.peer(await link('relay', home));
    return startNode(node, 'relay');
  }

  const nodes = await Promise.all(
    controls.map((home, index) => startNode(`node-${index + 1}`, home)),
  );
  let sequence = 0;

  async function change(edit: Edit): Promise<void> {
    const command = {operator: 'amina', sequence: ++sequence, edits: [edit]};
    const entry = group.machine('control-1').prepare(command, 1);
    await group.member('control-1').propose(entry);
  }

  await change(putService(service));
  return {
    network,
    group,
    nodes,
    startNode,
    startBehindRelay,
    instances,
    release: (digest: string) =>
      change({action: 'remove', kind: 'quarantine', name: digest}),
    put: (value: Quarantine) =>
      change({action: 'put', item: {kind: 'quarantine', value}}),
    lines: recorded.lines,
    stateOf: (digest = name, control = 'control-2') =>
      group.machine(control).current().quarantines.get(digest)?.state,
    /** Moves the wall clock but not the monotonic clock. */
    jump: (milliseconds: number) => {
      wallOffset += milliseconds;
    },
    pass: (milliseconds: number) => timers.advanceAsync(milliseconds),
  };
}

type TestCluster = Awaited<ReturnType<typeof start>>;

/** Reports one crash at each node, each observed by that node only. */
function crashAtEachNode(
  {nodes}: TestCluster,
  digest = name,
  incarnation = 1,
): void {
  for (const [index, node] of nodes.entries()) {
    node.crashed(`c-${index + 1}/${incarnation}`, [suspectOf(digest)]);
  }
}

test('crashes reported by three nodes at three homes are counted together, and every control process applies the quarantine in time', async t => {
  const cluster = await start();
  crashAtEachNode(cluster);
  await cluster.pass(500);
  t.is(cluster.stateOf(), 'watched');
  await cluster.pass(decisionTime - 500);
  for (const control of controls) t.is(cluster.stateOf(name, control), 'held');
});

test('a crash that is reported twice counts once', async t => {
  const cluster = await start();
  const [first] = cluster.nodes;
  first!.crashed('c-1/1', [suspectOf(name)]);
  // The node reports it again after each move to another home.
  await first!.attach('control-2');
  await first!.attach('control-3');
  await cluster.pass(decisionTime);
  t.is(cluster.stateOf(), undefined);
});

test('a crash reported to a home that is cut off is reported again to the next home', async t => {
  const cluster = await start();
  for (const otherControl of ['control-1', 'control-2']) {
    cluster.network.cut('control-3', otherControl);
  }
  crashAtEachNode(cluster);
  await cluster.pass(500);
  t.is(cluster.stateOf(), 'watched');
  await cluster.nodes[2]!.attach('control-2');
  await cluster.pass(2_000);
  t.is(cluster.stateOf(), 'held');
});

test('a new leader has the evidence that the previous leader received', async t => {
  const cluster = await start();
  cluster.nodes[0]!.crashed('c-1/1', [suspectOf(name)]);
  await cluster.pass(100);
  cluster.group.lead('control-3');
  cluster.nodes[1]!.crashed('c-2/1', [suspectOf(name)]);
  cluster.nodes[2]!.crashed('c-3/1', [suspectOf(name)]);
  await cluster.pass(decisionTime);
  t.is(cluster.stateOf(), 'held');
});

test('a node that restarts without evidence does not change a quarantine', async t => {
  const cluster = await start();
  crashAtEachNode(cluster);
  await cluster.pass(decisionTime);
  await cluster.startNode('node-1', 'control-1');
  await cluster.pass(decisionTime);
  t.is(cluster.stateOf(), 'held');
});

for (const watch of [true, false]) {
  test(`a request answered 0.4 s after three simultaneous crashes, with minimum watch time: ${watch}`, async t => {
    const cluster = await start(256, {watch});
    crashAtEachNode(cluster);
    await cluster.pass(400);
    t.is(cluster.stateOf(), watch ? 'watched' : 'held');
    cluster.nodes[0]!.answered(name);
    await cluster.pass(decisionTime);
    t.is(cluster.stateOf(), undefined);
  });
}

test('a request that is answered between crashes is not held', async t => {
  const cluster = await start();
  for (let round = 1; round <= 8; round++) {
    crashAtEachNode(cluster, name, round);
    await cluster.pass(400);
    t.not(cluster.stateOf(), 'held');
    if (cluster.stateOf() === 'watched') cluster.nodes[0]!.answered(name);
    await cluster.pass(1_700);
    t.is(cluster.stateOf(), undefined);
  }
});

test('a request that another instance answers around each crash is not watched', async t => {
  const cluster = await start();
  for (let incarnation = 1; incarnation <= 4; incarnation++) {
    // The answer may be reported before the crash.
    if (incarnation % 2 === 0) cluster.nodes[1]!.answered(name);
    cluster.nodes[0]!.crashed(`c-1/${incarnation}`, [suspectOf(name)]);
    if (incarnation % 2 === 1) cluster.nodes[1]!.answered(name);
    await cluster.pass(decisionTime);
    t.is(cluster.stateOf(), undefined);
  }
});

test('an answer removes a quarantine after all control processes have restarted', async t => {
  const cluster = await start();
  crashAtEachNode(cluster);
  await cluster.pass(decisionTime);
  const again = await start();
  const {quarantines} = cluster.group.machine('control-1').current();
  await again.put(quarantines.get(name)!);
  t.is(again.stateOf(), 'held');
  again.nodes[0]!.answered(name);
  await again.pass(500);
  t.is(again.stateOf(), undefined);
});

test('a jump of the wall clock does not change when a request is held', async t => {
  const cluster = await start();
  cluster.nodes[0]!.crashed('c-1/1', [suspectOf(name)]);
  cluster.nodes[1]!.crashed('c-2/1', [suspectOf(name)]);
  await cluster.pass(100);
  cluster.jump(-2_400_000);
  cluster.nodes[2]!.crashed('c-3/1', [suspectOf(name)]);
  await cluster.pass(500);
  t.is(cluster.stateOf(), 'watched');
  cluster.jump(4_800_000);
  await cluster.pass(100);
  t.is(cluster.stateOf(), 'watched');
  await cluster.pass(1_000);
  t.is(cluster.stateOf(), 'held');
});

test('a held request is tried on one incarnation, and held again when that crashes', async t => {
  const cluster = await start();
  cluster.instances.push(serving('c-4', 7));
  crashAtEachNode(cluster);
  await cluster.pass(decisionTime + 10_000);
  const quarantine = () =>
    cluster.group.machine('control-1').current().quarantines.get(name);
  t.is(quarantine()?.trialAt, 'c-4/7');
  cluster.nodes[0]!.crashed('c-4/7', [suspectOf(name)]);
  await cluster.pass(500);
  t.is(quarantine()?.state, 'held');
  t.is(quarantine()?.trials, 1);
  await cluster.pass(60_000);
  t.is(quarantine()?.state, 'held');
});

test('crashes before an operator removed the quarantine no longer count', async t => {
  const cluster = await start();
  crashAtEachNode(cluster);
  await cluster.pass(decisionTime);
  await cluster.release(name);
  await cluster.pass(decisionTime);
  t.is(cluster.stateOf(), undefined);
  crashAtEachNode(cluster, name, 2);
  await cluster.pass(decisionTime);
  t.is(cluster.stateOf(), 'held');
});

test('a held request is not removed to make room for a watched one', async t => {
  const cluster = await start(1);
  crashAtEachNode(cluster);
  await cluster.pass(decisionTime);
  t.is(cluster.stateOf(), 'held');
  cluster.nodes[0]!.crashed('c-1/2', [suspectOf(other)]);
  cluster.nodes[1]!.crashed('c-2/2', [suspectOf(other)]);
  await cluster.pass(500);
  t.is(cluster.stateOf(), 'held');
});

test('a crash that a node reports through a relay counts', async t => {
  const cluster = await start();
  const node = await cluster.startBehindRelay('node-9', 'control-3');
  node.crashed('c-8/1', [suspectOf(name)]);
  node.crashed('c-9/1', [suspectOf(name)]);
  await cluster.pass(500);
  t.is(cluster.stateOf(), 'watched');
});

test('answers of many nodes to a frequent request do not displace reports of crashes', async t => {
  const cluster = await start();
  const [crashed] = cluster.nodes;
  const many = await Promise.all(
    Array.from({length: 250}, (_, at) =>
      cluster.startNode(`hot-${at}`, 'control-1'),
    ),
  );
  for (const node of many) node.answered(other);
  crashed!.crashed('c-1/1', [suspectOf(name)]);
  crashed!.crashed('c-2/1', [suspectOf(name)]);
  await cluster.pass(500);
  t.is(cluster.stateOf(), 'watched');
});

test('when held requests use the whole limit, another request waits and their trials continue', async t => {
  const cluster = await start(1);
  cluster.instances.push(serving('c-4', 7));
  crashAtEachNode(cluster);
  await cluster.pass(decisionTime);
  cluster.nodes[0]!.crashed('c-1/2', [suspectOf(other)]);
  cluster.nodes[1]!.crashed('c-2/2', [suspectOf(other)]);
  await cluster.pass(decisionTime);
  t.is(cluster.stateOf(), 'on-trial');
  t.is(cluster.stateOf(other), undefined);
  const warnings = cluster.lines.filter(
    ({message}) => message === 'no room for quarantines',
  );
  t.is(warnings.length, 1);
});

test('a trial that crashes its instance ends, however many crashes came before', async t => {
  const cluster = await start();
  for (let incarnation = 1; incarnation <= 8; incarnation++)
    crashAtEachNode(cluster, name, incarnation);
  cluster.instances.push(serving('c-4', 7));
  await cluster.pass(decisionTime + 3_000);
  cluster.nodes[0]!.crashed('c-4/7', [suspectOf(name)]);
  cluster.instances.push(serving('c-5', 1));
  await cluster.pass(500);
  t.is(cluster.stateOf(), 'held');
});

test('an invalid piece of evidence is rejected and logged', async t => {
  const cluster = await start();
  const before = cluster.lines.length;
  cluster.nodes[0]!.crashed('c-1/1', [{...suspectOf(name), name: 'no digest'}]);
  await cluster.pass(100);
  t.is(cluster.lines[before]?.message, 'evidence refused');
});

test('a thousand crashes at once do not exceed the rate of forwarded evidence', async t => {
  const cluster = await start();
  for (let count = 0; count < 1_000; count++) {
    cluster.nodes[0]!.crashed(`c-${count}/1`, [suspectOf(other)]);
  }
  await cluster.pass(2_000);
  cluster.nodes[0]!.crashed('c-1/2', []);
  await settle();
  await cluster.pass(100);
  t.true(cluster.lines.some(({message}) => message === 'evidence left out'));
});

function serving(instance: string, incarnation: number): Announcement {
  return {
    instance,
    service,
    incarnation,
    sequence: 1,
    state: 'serving',
    gate: `${instance}:2`,
    failureDomain: 'hall-a',
    region: 'astana',
    slots: 8,
    connections: 130,
    since: 0,
  };
}

import test from 'ava';
import type {ConfigurationMachine} from '../configuration/create-configuration-machine.js';
import {createSampleMachine} from '../configuration/fakes/sample.js';
import {createFakeGroup} from '../consensus/fakes/fake-consensus.js';
import type {FakeGroup} from '../consensus/fakes/fake-consensus.js';
import {createChannels} from '../link/channel.js';
import type {Channels} from '../link/channel.js';
import {createFakeNetwork} from '../link/fakes/fake-network.js';
import type {FakeNetwork} from '../link/fakes/fake-network.js';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import type {FakeTimers} from '../time/fakes/fake-timers.js';
import {createDepartureClient} from './departure-client.js';
import {createDepartureServer} from './departure-server.js';
import {createInstanceDepartures} from './instance-departures.js';
import type {NodeDepartures, OwnDeparture} from './instance-departures.js';
import {createReplicatedDepartures} from './replicated-departures.js';

const log = createSilentLog();
const names = ['control-1', 'control-2', 'control-3'];
const addressOf = (name: string) => `${name}:1`;

const left: OwnDeparture = {
  identity: 'i-1',
  started: 1_000,
  state: 'gone',
  sequence: 3,
};

interface Cluster {
  readonly timers: FakeTimers;
  readonly network: FakeNetwork;
  readonly group: FakeGroup<ConfigurationMachine>;
  /** Starts a process of `node-1` with a link to one home. */
  node(
    home: string,
  ): Promise<NodeDepartures & {move(home: string): Promise<void>}>;
  relay(name: string, home: string): Promise<void>;
  /** Starts a home of a release without departures. */
  olderHome(name: string): Promise<void>;
}

async function createCluster(): Promise<Cluster> {
  const timers = createFakeTimers();
  const network = createFakeNetwork(timers);
  const group = createFakeGroup(names, () => createSampleMachine());
  const options = {timers, random: createRandom(1), log};

  async function connect(from: string, to: string): Promise<Channels> {
    const connecting = network.from(from).connect(addressOf(to));
    await timers.advanceAsync(5);
    return createChannels(await connecting);
  }

  const controls = names.map(name =>
    createReplicatedDepartures({
      consensus: group.member(name),
      machine: group.machine(name),
      timers,
      log,
    }),
  );
  for (const [index, name] of names.entries()) {
    const server = createDepartureServer(controls[index]!, log);
    await network.from(name).listen(addressOf(name), link => {
      const channels = createChannels(link);
      if (names.includes(link.peer)) controls[index]!.peer(channels);
      else server.accept(channels);
    });
  }
  for (const [index, name] of names.entries()) {
    for (const other of names.slice(index + 1))
      controls[index]!.peer(await connect(name, other));
  }

  return {
    timers,
    network,
    group,
    async node(home) {
      const client = createDepartureClient(options);
      const departures = createInstanceDepartures({
        instance: 'node-1',
        client,
        timers,
        log,
      });
      const move = async (to: string) =>
        client.attach(await connect('node-1', to));
      await move(home);
      return {...departures, move};
    },
    async relay(name, home) {
      const client = createDepartureClient(options);
      client.attach(await connect(name, home));
      const server = createDepartureServer(client, log);
      await network.from(name).listen(addressOf(name), link => {
        server.accept(createChannels(link));
      });
    },
    async olderHome(name) {
      await network.from(name).listen(addressOf(name), link => {
        createChannels(link);
      });
    },
  };
}

/** Lets messages pass until a promise is settled. */
async function resultOf<Value>(
  {timers}: Cluster,
  promise: Promise<Value>,
): Promise<Value> {
  let isDone = false;
  void promise.finally(() => (isDone = true));
  for (let turn = 0; !isDone && turn < 1_000; turn++)
    await timers.advanceAsync(10);
  return promise;
}

for (const home of names) {
  test(`a process that starts anew recalls a departure recorded through ${home}`, async t => {
    const cluster = await createCluster();
    const before = await cluster.node(home);
    t.deepEqual(await resultOf(cluster, before.recall()), []);
    t.true(await resultOf(cluster, before.record(left)));
    const after = await cluster.node('control-2');
    const [recalled] = (await resultOf(cluster, after.recall()))!;
    t.like(recalled, left);
    t.is(cluster.group.entries().length, 1);
  });
}

test('a departure through a relay reaches the control group', async t => {
  const cluster = await createCluster();
  await cluster.relay('relay-1', 'control-3');
  const before = await cluster.node('relay-1');
  t.true(await resultOf(cluster, before.record(left)));
  const after = await cluster.node('relay-1');
  t.is((await resultOf(cluster, after.recall()))?.length, 1);
});

test('a departure is not acknowledged before the control group has recorded it', async t => {
  const cluster = await createCluster();
  const node = await cluster.node('control-2');
  cluster.group.lead(undefined);
  t.false(await resultOf(cluster, node.record(left)));
  t.is(cluster.group.entries().length, 0);
  cluster.group.lead('control-3');
  t.true(await resultOf(cluster, node.record(left)));
});

test('a departure whose leader is lost is recorded once by the next attempt', async t => {
  const cluster = await createCluster();
  const node = await cluster.node('control-1');
  cluster.group.planOutcomes('commit-and-lose');
  t.true(await resultOf(cluster, node.record(left)));
  t.is(cluster.group.entries().length, 1);
});

test('a departure is asked about again at another home', async t => {
  const cluster = await createCluster();
  const node = await cluster.node('control-2');
  await resultOf(cluster, node.recall());
  cluster.network.cut('node-1', 'control-2');
  const recorded = node.record(left);
  await node.move('control-3');
  t.true(await resultOf(cluster, recorded));
});

test('nothing is recalled while no quorum confirms that it is all', async t => {
  const cluster = await createCluster();
  cluster.group.lead(undefined);
  const node = await cluster.node('control-2');
  t.is(await resultOf(cluster, node.recall()), undefined);
  cluster.group.lead('control-1');
  t.deepEqual(await resultOf(cluster, node.recall()), []);
  node.stop();
});

test('a node at a relay whose home is of an older release goes on as before', async t => {
  const cluster = await createCluster();
  await cluster.olderHome('older-1');
  await cluster.relay('relay-1', 'older-1');
  const node = await cluster.node('relay-1');
  await cluster.timers.advanceAsync(100);
  node.onConfirmed();
  t.deepEqual(node.recalled(), []);
  t.true(await resultOf(cluster, node.record(left)));
});

test('a node at a home of an older release goes on as before', async t => {
  const cluster = await createCluster();
  await cluster.olderHome('older-1');
  const node = await cluster.node('older-1');
  node.onConfirmed();
  t.deepEqual(node.recalled(), []);
  t.true(await resultOf(cluster, node.record(left)));
  await node.move('control-1');
  t.true(await resultOf(cluster, node.record(left)));
  t.is(cluster.group.entries().length, 1);
});

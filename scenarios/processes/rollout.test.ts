import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {call} from '../../bench/demo/calls.js';
import type {
  Deployment,
  DeployedInstance,
} from '../../bench/deployment/deployment.js';
import {connectOperator, setUp} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import type {Rollout} from '../../src/configuration/configuration.js';

/** Milliseconds. */
const waitTimeout = 60_000;
const callGap = 15;

/** The first five instances are the old ones; four are as many as needed. */
const oldCount = 5;
const newCount = 4;

const numberOf = (name: string) => Number(/\d+$/.exec(name)![0]);
const isNew = (name: string) => numberOf(name) > oldCount;

/** Starts both versions; the new one has the given faults. */
async function start(t: ExecutionContext, faults: readonly string[]) {
  const deployment = await startSmallDeployment({
    controls: 3,
    services: [
      {name: 'crewbook', instances: oldCount + newCount},
      {name: 'drillvault', instances: 1},
    ],
    node: {warmUp: 0},
    control: {rollouts: {recordsVersions: true}},
    upstreamOptions: name =>
      isNew(name) ? ['--version', 'v2', ...faults] : ['--version', 'v1'],
  });
  t.teardown(() => deployment.killAll());
  await setUp(deployment, 'examples/agency/setup.fox');
  const client = connectOperator(deployment);
  t.teardown(() => client.close());

  async function rollout(): Promise<Rollout | undefined> {
    const items = await client.items('rollout', 'crewbook');
    return items.ok ? (items.value.items[0]?.value as Rollout) : undefined;
  }

  await until('the version is recorded', waitTimeout, async () => {
    return (await rollout())?.stable[0] === 'v1';
  });
  const load = callRegularly(deployment);
  t.teardown(load.stop);
  return {deployment, rollout, load};
}

/** Calls through all nodes in turn until it is stopped. */
function callRegularly(deployment: Deployment) {
  const statuses: number[] = [];
  const pending = new Set<Promise<void>>();
  let isStopped = false;

  async function callOnce(index: number): Promise<void> {
    const {instances} = deployment;
    const {callerAddress} = instances[index % instances.length]!.settings;
    const {status} = await call(callerAddress, `/records/r${index}`);
    statuses.push(status);
  }

  async function run(): Promise<void> {
    for (let index = 0; !isStopped; index++) {
      const one = callOnce(index);
      pending.add(one);
      void one.finally(() => pending.delete(one));
      await pause(callGap);
    }
    await Promise.all(pending);
  }

  const running = run();
  return {
    statuses,
    stop: () => {
      isStopped = true;
      return running;
    },
  };
}

/** Requests that the instances of one version have begun. */
async function begunAt(
  deployment: Deployment,
  isCounted: (instance: DeployedInstance) => boolean,
): Promise<number> {
  const counted = deployment.instances.filter(
    each => each.service === 'crewbook' && isCounted(each),
  );
  const counts = await Promise.all(
    counted.map(async ({upstreamAddress}) => {
      const answer = await request(`http://${upstreamAddress}/counts`);
      return (await answer.body.json()) as {begun: number};
    }),
  );
  return counts.reduce((all, {begun}) => all + begun, 0);
}

const atNew = ({settings}: DeployedInstance) => isNew(settings.name);
const atOld = (instance: DeployedInstance) => !atNew(instance);

async function order(t: ExecutionContext, deployment: Deployment) {
  const ordered = await deployment.operate(
    'start rollout of crewbook to v2 within 8s',
  );
  t.is(ordered.code, 0, ordered.errors);
}

test.serial(
  'a good version takes over, and the old one gets nothing',
  async t => {
    const {deployment, rollout, load} = await start(t, []);
    await pause(1_000);
    t.is(await begunAt(deployment, atNew), 0, 'requests before the order');
    await order(t, deployment);
    await until('the roll-out has ended', waitTimeout, async () => {
      const phase = (await rollout())?.phase;
      return phase === 'completed' || phase === 'rolled-back';
    });
    t.is((await rollout())?.phase, 'completed', (await rollout())?.reason);
    const before = await begunAt(deployment, atOld);
    await pause(1_000);
    t.is(await begunAt(deployment, atOld), before, 'requests after the end');
    await load.stop();
    t.deepEqual([...new Set(load.statuses)], [200]);
  },
);

test.serial('a version that fails is rolled back and gets no more', async t => {
  const {deployment, rollout, load} = await start(t, ['--failing', '0.5']);
  await order(t, deployment);
  await until('it is rolled back', waitTimeout, async () => {
    return (await rollout())?.phase === 'rolled-back';
  });
  t.regex((await rollout())!.reason, /answers failed/);
  await pause(1_000);
  const before = await begunAt(deployment, atNew);
  await pause(1_000);
  t.is(await begunAt(deployment, atNew), before);
  await load.stop();
  const allowance = 0.1 * load.statuses.length + 50;
  t.true(before < allowance, `${before} requests, ${allowance} allowed`);
  const failed = load.statuses.filter(status => status !== 200).length;
  t.true(failed < 50, `${failed} failed answers`);
});

import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {
  Deployment,
  DeployedInstance,
} from '../../bench/deployment/deployment.js';
import {connectOperator, setUp} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import {call} from '../../bench/demo/calls.js';
import type {Reply} from '../../bench/demo/calls.js';
import type {Edit} from '../../src/configuration/messages.js';

/** Milliseconds. */
const waitTimeout = 60_000;
const setUpFile = 'examples/agency/setup.fox';

async function start(t: ExecutionContext): Promise<Deployment> {
  const deployment = await startSmallDeployment({
    controls: 3,
    services: [
      {name: 'crewbook', instances: 2},
      {name: 'drillvault', instances: 1},
    ],
  });
  t.teardown(deployment.killAll);
  await setUp(deployment, setUpFile);
  return deployment;
}

/** Changes the configuration through the control processes named by index. */
async function change(
  deployment: Deployment,
  controls: readonly number[],
  edit: Edit,
): Promise<void> {
  const client = connectOperator(deployment, controls);
  const sequence = Date.now() * 1000;
  const reply = await client.change({
    operator: 'tester',
    sequence,
    edits: [edit],
  });
  await client.close();
  if (!reply.ok || reply.value.code !== 1000) {
    throw new Error(`not accepted: ${JSON.stringify(reply)}`);
  }
}

const removeRecords: Edit = {action: 'remove', kind: 'route', name: 'records'};

function lookUp(instance: DeployedInstance): Promise<Reply | undefined> {
  const address = instance.settings.callerAddress;
  return call(address, '/records/crew-1').catch(() => undefined);
}

/** Waits until a node no longer has the route for lookups. */
function awaitRemoval(instance: DeployedInstance): Promise<void> {
  return until(
    `${instance.settings.name} without the route`,
    waitTimeout,
    async () => {
      const reply = await lookUp(instance);
      return reply?.code === 5001;
    },
  );
}

/** Result code of a node that has no configuration that is proved fresh. */
const noConfiguration = 5000;

/** Checks of a node that must not serve, 200 ms apart. */
const checks = 30;

test.serial(
  'a node that restarts with only an isolated control process serves no stale state',
  async t => {
    // Operators remove a route while one control process is suspended. Then the
    // others are suspended and it resumes, with the old version. A node that
    // starts now reaches only this process; if it served that version, it would
    // use the removed route. It must refuse requests as not run until a quorum
    // is back.
    const deployment = await start(t);
    const [stale, ...others] = deployment.controls;
    const instance = deployment.instances[0]!;
    t.is((await lookUp(instance))?.status, 200);
    stale!.signal('SIGSTOP');
    await change(deployment, [1, 2], removeRecords);
    await awaitRemoval(instance);
    for (const other of others) other.signal('SIGSTOP');
    instance.node.signal('SIGKILL');
    await instance.node.ended();
    stale!.signal('SIGCONT');
    deployment.restart(instance.settings.name);
    await until('the restarted node answers', waitTimeout, async () => {
      return (await lookUp(instance)) !== undefined;
    });
    for (let check = 0; check < checks; check++) {
      const reply = await lookUp(instance);
      t.is(reply?.code, noConfiguration);
      t.is(reply?.effect, 'not-run');
      await pause(200);
    }
    for (const other of others) other.signal('SIGCONT');
    await awaitRemoval(instance);
  },
);

const putRecords: Edit = {
  action: 'put',
  item: {
    kind: 'route',
    value: {
      name: 'records',
      prefix: '/records',
      methods: ['GET', 'HEAD'],
      service: 'crewbook',
      policy: 'lookups',
    },
  },
};

function awaitReturn(instance: DeployedInstance): Promise<void> {
  return until(
    `${instance.settings.name} with the route`,
    waitTimeout,
    async () => {
      const reply = await lookUp(instance);
      return reply?.status === 200;
    },
  );
}

test.serial('nodes leave a suspended home for another one', async t => {
  // A control VM hangs: its connections stay open, but nothing arrives on them,
  // not even a FIN. Its nodes must change to another home, or they would keep
  // the old version. Each control process is suspended once, and therefore the
  // home of each node.
  const deployment = await start(t);
  for (const [suspended, control] of deployment.controls.entries()) {
    const others = [0, 1, 2].filter(index => index !== suspended);
    control.signal('SIGSTOP');
    await change(deployment, others, removeRecords);
    await Promise.all(deployment.instances.map(awaitRemoval));
    await change(deployment, others, putRecords);
    await Promise.all(deployment.instances.map(awaitReturn));
    control.signal('SIGCONT');
  }
  t.pass();
});

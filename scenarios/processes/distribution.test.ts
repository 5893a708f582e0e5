import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {Deployment, DeployedInstance} from '../../bench/deployment/deployment.js';
import {connectOperator, setUp} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import {call} from '../../bench/demo/calls.js';
import type {Reply} from '../../bench/demo/calls.js';
import type {Edit} from '../../src/configuration/messages.js';

const limit = 60_000;
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

function lookUp(place: DeployedInstance): Promise<Reply | undefined> {
  const address = place.settings.callerAddress;
  return call(address, '/records/crew-1').catch(() => undefined);
}

/** Waits until a node has no route for lookups any more. */
function awaitRemoval(place: DeployedInstance): Promise<void> {
  return until(`${place.settings.name} lacks the route`, limit, async () => {
    const reply = await lookUp(place);
    return reply?.code === 5001;
  });
}

/** The code of requests that a node without a proved state refuses. */
const noConfiguration = 5000;

/** Looks at a node that must not serve; each look is 200 ms after the last. */
const looks = 30;

test.serial(
  'a node restarted beside an isolated control process serves nothing old',
  async t => {
    // Operators remove a route while one control process is frozen. Then the
    // others are frozen and it wakes: it knows the old version only. A node that
    // is started now reaches no other; served from there, a caller would be sent
    // along the removed route. It refuses as not run until a quorum is back.
    const deployment = await start(t);
    const [stale, ...others] = deployment.controls;
    const place = deployment.instances[0]!;
    t.is((await lookUp(place))?.status, 200);
    stale!.signal('SIGSTOP');
    await change(deployment, [1, 2], removeRecords);
    await awaitRemoval(place);
    for (const other of others) other.signal('SIGSTOP');
    place.node.signal('SIGKILL');
    await place.node.ended();
    stale!.signal('SIGCONT');
    deployment.restart(place.settings.name);
    await until('the restarted node answers', limit, async () => {
      return (await lookUp(place)) !== undefined;
    });
    for (let look = 0; look < looks; look++) {
      const reply = await lookUp(place);
      t.is(reply?.code, noConfiguration);
      t.is(reply?.effect, 'not-run');
      await pause(200);
    }
    for (const other of others) other.signal('SIGCONT');
    await awaitRemoval(place);
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

function awaitReturn(place: DeployedInstance): Promise<void> {
  return until(`${place.settings.name} has the route`, limit, async () => {
    const reply = await lookUp(place);
    return reply?.status === 200;
  });
}

test.serial('a frozen home loses its nodes to another', async t => {
  // A control VM hangs: its links stay open and silent, no FIN comes. Its nodes
  // would keep the old version; they leave it and get the change elsewhere. Each
  // control process has its turn, so each node's home has.
  const deployment = await start(t);
  for (const [frozen, control] of deployment.controls.entries()) {
    const others = [0, 1, 2].filter(index => index !== frozen);
    control.signal('SIGSTOP');
    await change(deployment, others, removeRecords);
    await Promise.all(deployment.instances.map(awaitRemoval));
    await change(deployment, others, putRecords);
    await Promise.all(deployment.instances.map(awaitReturn));
    control.signal('SIGCONT');
  }
  t.pass();
});
